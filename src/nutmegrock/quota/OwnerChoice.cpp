#include "quota/OwnerChoice.h"

#include "core/Hash.h"

#include <algorithm>
#include <tuple>

namespace nutmegrock::quota {

namespace {

/// Maximum number of members that are remembered as leaving.
constexpr std::size_t kMaxLeaving = 32;

core::Incarnation
BestOf(const std::vector<core::Incarnation>& aOwners,
       std::string_view aTenant,
       core::Incarnation aExcept)
{
  core::Incarnation best;
  std::uint64_t best_rank = 0;
  for (const core::Incarnation owner : aOwners) {
    const std::uint64_t rank = core::HashOf(aTenant, owner.mBits);
    if (owner != aExcept && (!best.IsKnown() || rank > best_rank)) {
      best = owner;
      best_rank = rank;
    }
  }
  return best;
}

} // namespace

void
OwnerChoice::SetView(core::TimePoint aNow, OwnerView aView)
{
  // The previous number was current until now.
  if (!mSizes.empty()) {
    mSizes.back().first = aNow;
  }
  while (!mSizes.empty() && mSizes.front().first + kSizePeriod < aNow) {
    mSizes.pop_front();
  }
  while (!mSizes.empty() && mSizes.back().second <= aView.mAlive) {
    mSizes.pop_back();
  }
  mSizes.emplace_back(aNow, aView.mAlive);
  mView = std::move(aView);
  Choose();
}

void
OwnerChoice::AddLeaving(core::Incarnation aMember)
{
  if (std::find(mLeaving.begin(), mLeaving.end(), aMember) != mLeaving.end()) {
    return;
  }
  if (mLeaving.size() >= kMaxLeaving) {
    mLeaving.erase(mLeaving.begin());
  }
  mLeaving.push_back(aMember);
  Choose();
}

void
OwnerChoice::Choose()
{
  std::vector<OwnerCandidate> members;
  members.reserve(mView.mCandidates.size());
  for (const OwnerCandidate& member : mView.mCandidates) {
    if (std::find(mLeaving.begin(), mLeaving.end(), member.mIncarnation) ==
        mLeaving.end()) {
      members.push_back(member);
    }
  }
  const auto before = [](const OwnerCandidate& aLeft,
                         const OwnerCandidate& aRight) {
    return std::tie(aLeft.mJoinedMs, aLeft.mIncarnation) <
           std::tie(aRight.mJoinedMs, aRight.mIncarnation);
  };
  const std::size_t count = std::min(kMaxOwners, members.size());
  std::partial_sort(members.begin(),
                    members.begin() + static_cast<std::ptrdiff_t>(count),
                    members.end(),
                    before);
  mOwners.clear();
  for (std::size_t i = 0; i < count; ++i) {
    mOwners.push_back(members[i].mIncarnation);
  }
}

core::Incarnation
OwnerChoice::OwnerOf(std::string_view aTenant) const
{
  return BestOf(mOwners, aTenant, {});
}

core::Incarnation
OwnerChoice::OwnerWithout(std::string_view aTenant,
                          core::Incarnation aMember) const
{
  return BestOf(mOwners, aTenant, aMember);
}

core::Incarnation
OwnerChoice::OwnerAmong(const std::vector<core::Incarnation>& aOwners,
                        std::string_view aTenant)
{
  return BestOf(aOwners, aTenant, {});
}

bool
OwnerChoice::IsCandidate(core::Incarnation aMember) const
{
  return std::find(mLeaving.begin(), mLeaving.end(), aMember) ==
           mLeaving.end() &&
         std::any_of(mView.mCandidates.begin(),
                     mView.mCandidates.end(),
                     [aMember](const OwnerCandidate& aCandidate) {
                       return aCandidate.mIncarnation == aMember;
                     });
}

std::int64_t
OwnerChoice::JoinedMs(core::Incarnation aMember) const
{
  for (const OwnerCandidate& candidate : mView.mCandidates) {
    if (candidate.mIncarnation == aMember) {
      return candidate.mJoinedMs;
    }
  }
  return 0;
}

std::size_t
OwnerChoice::Largest(core::TimePoint aNow) const
{
  std::size_t largest = std::max<std::size_t>(1, mView.mAlive);
  for (const auto& [until, size] : mSizes) {
    if (until + kSizePeriod >= aNow) {
      largest = std::max(largest, size);
    }
  }
  return largest;
}

bool
OwnerChoice::IsMinority(core::TimePoint aNow) const
{
  return mView.mAlive * 2 < Largest(aNow);
}

} // namespace nutmegrock::quota
