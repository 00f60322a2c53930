#include "overload/WorkQueue.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Load of a fully used server whose calls have no known typical time yet.
constexpr double kRunningLoad = 0.9;

double
SecondsOf(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

WorkQueue::WorkQueue(WorkQueueSettings aSettings)
  : mSettings(aSettings)
{
}

void
WorkQueue::SetSlots(std::uint32_t aSlots)
{
  mLimit = std::max(
    1U, static_cast<std::uint32_t>(std::floor(aSlots * mSettings.mSlotShare)));
}

double
WorkQueue::DecayFactor(core::TimePoint aNow) const
{
  return std::exp(-SecondsOf(aNow - mDecayedAt) /
                  SecondsOf(mSettings.mSmoothing));
}

void
WorkQueue::Decay(core::TimePoint aNow)
{
  const double keep = mDecayedAt == core::TimePoint{} ? 0 : DecayFactor(aNow);
  mRequestedSeconds *= keep;
  mRequestedCalls *= keep;
  mDecayedAt = aNow;
}

double
WorkQueue::Load(core::TimePoint aNow) const
{
  if (mLimit == 0) {
    return 0;
  }
  // An exponentially decaying sum divided by its time constant is a rate.
  const double rate =
    mRequestedSeconds * DecayFactor(aNow) / SecondsOf(mSettings.mSmoothing);
  const double backlog =
    mItems.empty() ? 0 : mWaitingSeconds / SecondsOf(mSettings.mDrainTime);
  double load =
    std::max((rate + backlog) / mLimit,
             static_cast<double>(SlotsInUse()) / mLimit * kRunningLoad);
  if (mRateLimit) {
    const double calls =
      mRequestedCalls * DecayFactor(aNow) / SecondsOf(mSettings.mSmoothing) +
      static_cast<double>(mItems.size()) / SecondsOf(mSettings.mDrainTime);
    load = std::max(load, calls / *mRateLimit);
  }
  return mEnded > 1 && mRefused > mSettings.mRefusingShare * mEnded
           ? std::max(load, mSettings.mRefusingLoad)
           : load;
}

core::Expected<bool>
WorkQueue::Offer(core::TimePoint aNow, const WorkItem& aItem)
{
  Decay(aNow);
  mRequestedSeconds += SecondsOf(aItem.mTypicalTime);
  mRequestedCalls += 1;
  AddTokens(aNow);
  if (aNow + aItem.mTypicalTime / 2 > aItem.mDeadline) {
    return core::Fail(core::ErrorKind::QueueTimeout,
                      "too little time is left for the call");
  }
  if (SlotsInUse() < mLimit && mItems.empty() && HasToken()) {
    CountStart();
    return true;
  }
  double max_waiting = mSettings.mMaxWaitingRatio * mLimit;
  if (mRateLimit) {
    max_waiting =
      std::min(max_waiting,
               std::max(1.0, *mRateLimit * SecondsOf(mSettings.mMaxRateWait)));
  }
  if (static_cast<double>(mItems.size()) >= max_waiting) {
    return core::Fail(core::ErrorKind::QueueFull, "the queue is full");
  }
  const auto place = mOrder.emplace(aItem.mDue, aItem.mId);
  mItems.emplace(aItem.mId, Entry{ aItem, place });
  mWaitingSeconds += SecondsOf(aItem.mTypicalTime);
  return false;
}

void
WorkQueue::StartNext(core::TimePoint aNow, WorkChanges& aChanges)
{
  AddTokens(aNow);
  while (SlotsInUse() < mLimit && HasToken() && !mOrder.empty()) {
    const std::uint64_t id = mOrder.begin()->second;
    const auto entry = mItems.find(id);
    const WorkItem& item = entry->second.mItem;
    if (aNow + item.mTypicalTime / 2 > item.mDeadline) {
      aChanges.mExpired.push_back(id);
    } else {
      aChanges.mToStart.push_back(id);
      CountStart();
    }
    mWaitingSeconds -= SecondsOf(item.mTypicalTime);
    mOrder.erase(mOrder.begin());
    mItems.erase(entry);
  }
}

void
WorkQueue::AddTokens(core::TimePoint aNow)
{
  if (mRateLimit) {
    const double burst =
      std::max(1.0, *mRateLimit * SecondsOf(mSettings.mRateBurst));
    mTokens =
      std::min(burst, mTokens + *mRateLimit * SecondsOf(aNow - mTokensAt));
  }
  mTokensAt = aNow;
}

void
WorkQueue::CountStart()
{
  ++mRunning;
  mTokens -= mRateLimit ? 1 : 0;
}

void
WorkQueue::OnRateLimit(core::TimePoint aNow, std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    if (mRateLimit && aNow - mRateLimitNamedAt >= mSettings.mRateLimitHold) {
      mRateLimit.reset();
    }
    return;
  }
  AddTokens(aNow);
  if (!mRateLimit) {
    mTokens = 0;
  }
  mRateLimit = std::max(mSettings.mMinRate, *aPerSecond);
  mRateLimitNamedAt = aNow;
}

std::uint32_t
WorkQueue::UsableSlots(std::uint32_t aSlots) const
{
  if (!mRateLimit || mRequestedCalls <= 0) {
    return aSlots;
  }
  const double slots = *mRateLimit * mRequestedSeconds / mRequestedCalls;
  return std::clamp(
    static_cast<std::uint32_t>(std::min<double>(aSlots, std::ceil(slots))),
    std::min(1U, aSlots),
    aSlots);
}

WorkChanges
WorkQueue::SetLost(core::TimePoint aNow, std::uint32_t aLost)
{
  WorkChanges changes;
  // A wrong report must not lead to more than twice the limit.
  mLost = std::min(aLost, mLimit);
  StartNext(aNow, changes);
  return changes;
}

void
WorkQueue::CountEnded(core::TimePoint aNow, double aRefused, double aEnded)
{
  const double keep = mEndedAt == core::TimePoint{}
                        ? 0
                        : std::exp(-SecondsOf(aNow - mEndedAt) /
                                   SecondsOf(mSettings.mRefusalTime));
  mEndedAt = aNow;
  mRefused = mRefused * keep + aRefused;
  mEnded = mEnded * keep + aEnded;
}

void
WorkQueue::OnRefused(core::TimePoint aNow)
{
  CountEnded(aNow, 1, 0);
}

WorkChanges
WorkQueue::OnEnd(core::TimePoint aNow)
{
  CountEnded(aNow, 0, 1);
  WorkChanges changes;
  if (mRunning > 0) {
    --mRunning;
  }
  StartNext(aNow, changes);
  return changes;
}

void
WorkQueue::Remove(std::uint64_t aId)
{
  const auto found = mItems.find(aId);
  if (found != mItems.end()) {
    mWaitingSeconds -= SecondsOf(found->second.mItem.mTypicalTime);
    mOrder.erase(found->second.mPosition);
    mItems.erase(found);
  }
}

WorkChanges
WorkQueue::Tick(core::TimePoint aNow)
{
  WorkChanges changes;
  for (const auto& [id, entry] : mItems) {
    if (aNow + entry.mItem.mTypicalTime / 2 > entry.mItem.mDeadline) {
      changes.mExpired.push_back(id);
    }
  }
  for (const std::uint64_t id : changes.mExpired) {
    Remove(id);
  }
  StartNext(aNow, changes);
  return changes;
}

} // namespace nutmegrock::overload
