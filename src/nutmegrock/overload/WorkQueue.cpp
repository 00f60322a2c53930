#include "overload/WorkQueue.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

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
WorkQueue::Instant() const
{
  return mLimit == 0 ? 0
                     : static_cast<double>(mRunning + mItems.size()) / mLimit;
}

void
WorkQueue::Observe(core::TimePoint aNow)
{
  if (mObservedAt != core::TimePoint{}) {
    const double step =
      1 - std::exp(-std::chrono::duration<double>(aNow - mObservedAt).count() /
                   std::chrono::duration<double>(mSettings.mSmoothing).count());
    mLoad += step * (Instant() - mLoad);
  }
  mObservedAt = aNow;
}

double
WorkQueue::Load(core::TimePoint aNow) const
{
  if (mObservedAt == core::TimePoint{}) {
    return 0;
  }
  const double step =
    1 - std::exp(-std::chrono::duration<double>(aNow - mObservedAt).count() /
                 std::chrono::duration<double>(mSettings.mSmoothing).count());
  return mLoad + step * (Instant() - mLoad);
}

core::Expected<bool>
WorkQueue::Offer(core::TimePoint aNow, const WorkItem& aItem)
{
  Observe(aNow);
  if (aNow + aItem.mUsualTime / 2 > aItem.mDeadline) {
    return core::Fail(core::ErrorKind::QueueTimeout,
                      "too little time is left for the call");
  }
  if (mRunning < mLimit && mItems.empty()) {
    ++mRunning;
    return true;
  }
  if (static_cast<double>(mItems.size()) >= mSettings.mMostWaiting * mLimit) {
    return core::Fail(core::ErrorKind::QueueFull, "the queue is full");
  }
  const auto place = mOrder.emplace(aItem.mDue, aItem.mId);
  mItems.emplace(aItem.mId, Entry{ aItem, place });
  return false;
}

void
WorkQueue::StartNext(core::TimePoint aNow, WorkChanges& aChanges)
{
  while (mRunning < mLimit && !mOrder.empty()) {
    const std::uint64_t id = mOrder.begin()->second;
    const auto entry = mItems.find(id);
    const WorkItem& item = entry->second.mItem;
    if (aNow + item.mUsualTime / 2 > item.mDeadline) {
      aChanges.mExpired.push_back(id);
    } else {
      aChanges.mStart.push_back(id);
      ++mRunning;
    }
    mOrder.erase(mOrder.begin());
    mItems.erase(entry);
  }
}

WorkChanges
WorkQueue::OnEnd(core::TimePoint aNow)
{
  Observe(aNow);
  WorkChanges changes;
  if (mRunning > 0) {
    --mRunning;
  }
  StartNext(aNow, changes);
  return changes;
}

void
WorkQueue::Withdraw(core::TimePoint aNow, std::uint64_t aId)
{
  Observe(aNow);
  const auto found = mItems.find(aId);
  if (found != mItems.end()) {
    mOrder.erase(found->second.mPlace);
    mItems.erase(found);
  }
}

WorkChanges
WorkQueue::Tick(core::TimePoint aNow)
{
  Observe(aNow);
  WorkChanges changes;
  for (const auto& [id, entry] : mItems) {
    if (aNow + entry.mItem.mUsualTime / 2 > entry.mItem.mDeadline) {
      changes.mExpired.push_back(id);
    }
  }
  for (const std::uint64_t id : changes.mExpired) {
    Withdraw(aNow, id);
  }
  StartNext(aNow, changes);
  return changes;
}

} // namespace nutmegrock::overload
