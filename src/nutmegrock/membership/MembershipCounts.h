#pragma once

#include <cstdint>

namespace nutmegrock::membership {

/// Counts of events since the start of a node.
struct MembershipCounts
{
  /// Suspicions and deaths of this node that it refuted.
  std::uint64_t mRefuted = 0;
  /// Members suspected after probes by this node.
  std::uint64_t mSuspected = 0;
  /// Members that this node declared dead.
  std::uint64_t mDeclaredDead = 0;

  bool operator==(const MembershipCounts&) const = default;
};

} // namespace nutmegrock::membership
