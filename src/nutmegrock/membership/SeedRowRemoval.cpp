#include "membership/SeedRowRemoval.h"

#include "core/Hash.h"

#include <cstddef>
#include <cstdint>

namespace nutmegrock::membership {

namespace {

constexpr std::size_t kRemovers = 2;

} // namespace

bool
ShouldRemoveSeedRow(const MemberTable& aTable, const Member& aMember)
{
  const Member& own = *aTable.Own().mMember;
  if (aMember.mRegion != own.mRegion) {
    return false;
  }
  const auto rank = [&](core::Incarnation aIncarnation) {
    return core::HashOf(aIncarnation.ToString(), aMember.mIncarnation.mBits);
  };
  const std::uint64_t ownRank = rank(own.mIncarnation);
  std::size_t before = 0;
  for (const core::Incarnation other : aTable.Present()) {
    if (rank(other) < ownRank &&
        aTable.Find(other)->mMember->mRegion == aMember.mRegion) {
      ++before;
    }
  }
  return before < kRemovers;
}

} // namespace nutmegrock::membership
