#include "node/CandidateUpdater.h"

#include <algorithm>

namespace nutmegrock::node {

namespace {

routing::CandidateState
StateOf(membership::MemberState aState)
{
  switch (aState) {
    case membership::MemberState::Starting:
      return routing::CandidateState::Starting;
    case membership::MemberState::Serving:
      return routing::CandidateState::Serving;
    case membership::MemberState::Draining:
      return routing::CandidateState::Draining;
    case membership::MemberState::Left:
      break;
  }
  return routing::CandidateState::Left;
}

} // namespace

std::vector<routing::Candidate>
CandidatesOf(const std::vector<membership::MemberPtr>& aMembers,
             core::TimePoint aNow,
             std::int64_t aWallClockMs)
{
  std::vector<routing::Candidate> candidates;
  candidates.reserve(aMembers.size());
  for (const membership::MemberPtr& member : aMembers) {
    const std::chrono::milliseconds age(
      std::max<std::int64_t>(0, aWallClockMs - member->mJoinedMs));
    candidates.push_back({ member->mIncarnation,
                           member->mAddress,
                           member->mAvailabilityZone,
                           member->mSlots,
                           StateOf(member->mState),
                           aNow - age });
  }
  return candidates;
}

void
CandidateUpdater::Apply(const membership::MemberView& aView,
                        core::TimePoint aNow,
                        std::int64_t aWallClockMs)
{
  const std::lock_guard lock(mMutex);
  if (aView.mNumber <= mLastNumber) {
    return;
  }
  mLastNumber = aView.mNumber;
  std::set<std::string, std::less<>> removed;
  removed.swap(mServices);
  for (const auto& [service, members] : aView.mByService) {
    mRouter.Update(aNow, service, CandidatesOf(members, aNow, aWallClockMs));
    removed.erase(service);
    mServices.insert(service);
  }
  for (const std::string& service : removed) {
    mRouter.Update(aNow, service, {});
  }
}

} // namespace nutmegrock::node
