#include "membership/MemberView.h"

#include "membership/MemberTable.h"

#include <algorithm>
#include <cstddef>

namespace nutmegrock::membership {

MemberViewPtr
MemberView::Of(const MemberTable& aTable, std::uint64_t aNumber)
{
  auto view = std::make_shared<MemberView>();
  view->mNumber = aNumber;
  view->mMembers.reserve(aTable.Present().size() + 1);
  for (const core::Incarnation present : aTable.Present()) {
    view->mMembers.push_back(aTable.Find(present)->mMember);
  }
  if (aTable.Own().IsPresent()) {
    view->mMembers.push_back(aTable.Own().mMember);
  }
  std::sort(view->mMembers.begin(),
            view->mMembers.end(),
            [](const MemberPtr& aLeft, const MemberPtr& aRight) {
              return aLeft->mIncarnation < aRight->mIncarnation;
            });
  for (const MemberPtr& member : view->mMembers) {
    view->mByService[member->mService].push_back(member);
  }
  return view;
}

const std::vector<MemberPtr>&
MemberView::OfService(std::string_view aService) const
{
  static const std::vector<MemberPtr> sNone;
  const auto found = mByService.find(aService);
  return found == mByService.end() ? sNone : found->second;
}

std::size_t
MemberView::RankOf(core::Incarnation aIncarnation) const
{
  const auto found =
    std::lower_bound(mMembers.begin(),
                     mMembers.end(),
                     aIncarnation,
                     [](const MemberPtr& aMember, core::Incarnation aKey) {
                       return aMember->mIncarnation < aKey;
                     });
  return static_cast<std::size_t>(found - mMembers.begin());
}

MemberPtr
MemberView::Find(core::Incarnation aIncarnation) const
{
  const auto found =
    mMembers.begin() + static_cast<std::ptrdiff_t>(RankOf(aIncarnation));
  const bool hit =
    found != mMembers.end() && (*found)->mIncarnation == aIncarnation;
  return hit ? *found : nullptr;
}

} // namespace nutmegrock::membership
