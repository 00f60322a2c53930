#pragma once

#include "membership/Member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::membership {

class MemberTable;

/// Immutable snapshot of the members that are neither dead nor left, this node
/// included. Suspected members are included: routing decides from its own
/// observations whether to use them.
struct MemberView
{
  /// Increases with each snapshot of a node.
  std::uint64_t mNumber = 0;
  /// All members in incarnation order.
  std::vector<MemberPtr> mMembers;
  /// The members of each service in incarnation order, in any state but Left.
  std::map<std::string, std::vector<MemberPtr>, std::less<>> mByService;

  /// Takes a snapshot of a table.
  static std::shared_ptr<const MemberView> Of(const MemberTable& aTable,
                                              std::uint64_t aNumber);

  /// Number of members, this node included.
  std::size_t Alive() const { return mMembers.size(); }
  /// The members of a service; empty if there are none.
  const std::vector<MemberPtr>& OfService(std::string_view aService) const;
  /// Number of members with a lower incarnation.
  std::size_t RankOf(core::Incarnation aIncarnation) const;
  /// The member with an incarnation, or null.
  MemberPtr Find(core::Incarnation aIncarnation) const;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

} // namespace nutmegrock::membership
