#pragma once

#include <cstdint>

namespace nutmegrock::membership {

/// Events since the start of one node.
struct MembershipCounts
{
  /// Suspicions and death declarations about this node that it contradicted.
  std::uint64_t mRefuted = 0;
  /// Members suspected after own probes.
  std::uint64_t mSuspected = 0;
  /// Members this node itself declared dead.
  std::uint64_t mDeclaredDead = 0;

  bool operator==(const MembershipCounts&) const = default;
};

} // namespace nutmegrock::membership
