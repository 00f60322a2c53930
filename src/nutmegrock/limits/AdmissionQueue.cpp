#include "limits/AdmissionQueue.h"

#include <algorithm>

namespace nutmegrock::limits {

namespace {

std::size_t
IndexOf(core::Importance aImportance)
{
  return static_cast<std::size_t>(aImportance);
}

/// End of the maximum wait; saturates, since the wait may be unbounded.
core::TimePoint
MaxWaitEnd(core::TimePoint aArrived, core::Duration aMaxWait)
{
  const core::Duration room = core::TimePoint::max() - aArrived;
  return aArrived + std::min(aMaxWait, room);
}

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings& aSettings)
  : mSettings(aSettings)
  , mNewestFirst(aSettings.mOrder == QueueOrder::NewestFirst)
{
}

void
AdmissionQueue::SetOverloaded(bool aOverloaded)
{
  if (mSettings.mOrder == QueueOrder::NewestFirstUnderOverload) {
    mNewestFirst = aOverloaded;
  }
}

core::Expected<AdmissionQueue>
AdmissionQueue::Create(const AdmissionQueueSettings& aSettings)
{
  if (aSettings.mMaxWaiting == 0) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "admission queue: max waiting must be positive");
  }
  return AdmissionQueue(aSettings);
}

std::optional<AdmissionRequest>
AdmissionQueue::Push(core::TimePoint aNow, const AdmissionRequest& aRequest)
{
  const Entry entry{ { aRequest, aNow }, mSequence++ };
  if (!mCalls.emplace(aRequest.mId, entry).second) {
    return std::nullopt;
  }
  mRunOrder.emplace(
    RunKey{ aRequest.mImportance, aRequest.mDepth, entry.mSequence },
    aRequest.mId);
  mEvictOrder.emplace(
    EvictKey{ aRequest.mImportance, aRequest.mCohort, entry.mSequence },
    aRequest.mId);
  mByArrival.emplace(aNow, aRequest.mId);
  mByMaxWait.emplace(MaxWaitEnd(aNow, aRequest.mMaxWait), aRequest.mId);
  mByDeadline.at(IndexOf(aRequest.mImportance))
    .emplace(aRequest.mDeadline, aRequest.mId);
  if (mCalls.size() <= mSettings.mMaxWaiting) {
    return std::nullopt;
  }
  return Take(mEvictOrder.begin()->second).mRequest;
}

AdmissionQueue::Waiting
AdmissionQueue::Take(std::uint64_t aId)
{
  const auto found = mCalls.find(aId);
  const Entry entry = found->second;
  const AdmissionRequest& ticket = entry.mWaiting.mRequest;
  const core::TimePoint arrived = entry.mWaiting.mArrived;
  mRunOrder.erase({ ticket.mImportance, ticket.mDepth, entry.mSequence });
  mEvictOrder.erase({ ticket.mImportance, ticket.mCohort, entry.mSequence });
  mByArrival.erase({ arrived, aId });
  mByMaxWait.erase({ MaxWaitEnd(arrived, ticket.mMaxWait), aId });
  mByDeadline.at(IndexOf(ticket.mImportance)).erase({ ticket.mDeadline, aId });
  mCalls.erase(found);
  return entry.mWaiting;
}

std::optional<AdmissionQueue::Waiting>
AdmissionQueue::Pop()
{
  if (mRunOrder.empty()) {
    return std::nullopt;
  }
  const auto newest = std::prev(mRunOrder.end());
  if (mNewestFirst) {
    return Take(newest->second);
  }
  const auto oldest = mRunOrder.lower_bound(
    RunKey{ newest->first.mImportance, newest->first.mDepth, 0 });
  return Take(oldest->second);
}

std::optional<AdmissionRequest>
AdmissionQueue::Remove(std::uint64_t aId)
{
  if (!mCalls.contains(aId)) {
    return std::nullopt;
  }
  return Take(aId).mRequest;
}

std::vector<std::pair<AdmissionRequest, core::ErrorKind>>
AdmissionQueue::Expire(core::TimePoint aNow, const ServiceTimes& aTimes)
{
  std::vector<std::pair<AdmissionRequest, core::ErrorKind>> expired;
  for (std::size_t i = 0; i < mByDeadline.size(); ++i) {
    ByTime& calls = mByDeadline.at(i);
    while (!calls.empty() && calls.begin()->first < aNow + aTimes.at(i)) {
      expired.emplace_back(Take(calls.begin()->second).mRequest,
                           core::ErrorKind::DeadlineExceeded);
    }
  }
  while (!mByMaxWait.empty() && mByMaxWait.begin()->first < aNow) {
    expired.emplace_back(Take(mByMaxWait.begin()->second).mRequest,
                         core::ErrorKind::QueueTimeout);
  }
  return expired;
}

core::TimePoint
AdmissionQueue::NextExpiry(const ServiceTimes& aTimes) const
{
  if (mCalls.empty()) {
    return core::TimePoint::max();
  }
  core::TimePoint next = mByMaxWait.begin()->first;
  for (std::size_t i = 0; i < mByDeadline.size(); ++i) {
    const ByTime& calls = mByDeadline.at(i);
    if (!calls.empty()) {
      next = std::min(next, calls.begin()->first - aTimes.at(i));
    }
  }
  // Expire() removes only calls strictly past their time.
  return next == core::TimePoint::max() ? next : next + core::Duration{ 1 };
}

std::optional<core::TimePoint>
AdmissionQueue::OldestArrival() const
{
  if (mByArrival.empty()) {
    return std::nullopt;
  }
  return mByArrival.begin()->first;
}

} // namespace nutmegrock::limits
