#pragma once

#include "membership/Member.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::membership {

class MemberTable;

/// Immutable snapshot of the members that are neither dead nor left, the own
/// node included. Suspected members are in it: routing decides by its own
/// observations whether to use them.
struct MemberView
{
  /// Rises with each snapshot of one node.
  std::uint64_t mNumber = 0;
  /// All members in the order of their incarnations.
  std::vector<MemberPtr> mMembers;
  /// The members of each service in the order of their incarnations, in any
  /// state but Left.
  std::map<std::string, std::vector<MemberPtr>, std::less<>> mByService;

  /// The snapshot of a table.
  static std::shared_ptr<const MemberView> Of(const MemberTable& aTable,
                                              std::uint64_t aNumber);

  /// Count of alive members, the own node included.
  std::size_t Alive() const { return mMembers.size(); }
  /// The members of a service; empty when there is none.
  const std::vector<MemberPtr>& OfService(std::string_view aService) const;
  /// The member of that incarnation, or null.
  MemberPtr Find(core::Incarnation aIncarnation) const;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

} // namespace nutmegrock::membership
