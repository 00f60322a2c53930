#include "limits/AdmissionQueue.h"

#include <algorithm>

namespace nutmegrock::limits {

namespace {

std::size_t
IndexOf(core::Importance aImportance)
{
  return static_cast<std::size_t>(aImportance);
}

/// End of the max wait; a max wait without bound must not overflow.
core::TimePoint
MaxWaitEnd(core::TimePoint aArrived, core::Duration aMaxWait)
{
  const core::Duration room = core::TimePoint::max() - aArrived;
  return aArrived + std::min(aMaxWait, room);
}

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionQueueSettings& aSettings)
  : mSettings(aSettings)
{
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

std::optional<Ticket>
AdmissionQueue::Push(core::TimePoint aNow, const Ticket& aTicket)
{
  const Entry entry{ { aTicket, aNow }, mSequence++ };
  if (!mCalls.emplace(aTicket.mId, entry).second) {
    return std::nullopt;
  }
  mRunOrder.emplace(
    RunKey{ aTicket.mImportance, aTicket.mDepth, entry.mSequence },
    aTicket.mId);
  mEvictOrder.emplace(
    EvictKey{ aTicket.mImportance, aTicket.mCohort, entry.mSequence },
    aTicket.mId);
  mByArrival.emplace(aNow, aTicket.mId);
  mByMaxWait.emplace(MaxWaitEnd(aNow, aTicket.mMaxWait), aTicket.mId);
  mByDeadline.at(IndexOf(aTicket.mImportance))
    .emplace(aTicket.mDeadline, aTicket.mId);
  if (mCalls.size() <= mSettings.mMaxWaiting) {
    return std::nullopt;
  }
  return Take(mEvictOrder.begin()->second).mTicket;
}

AdmissionQueue::Waiting
AdmissionQueue::Take(std::uint64_t aId)
{
  const auto found = mCalls.find(aId);
  const Entry entry = found->second;
  const Ticket& ticket = entry.mWaiting.mTicket;
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

std::optional<Ticket>
AdmissionQueue::Remove(std::uint64_t aId)
{
  if (!mCalls.contains(aId)) {
    return std::nullopt;
  }
  return Take(aId).mTicket;
}

std::vector<std::pair<Ticket, core::ErrorKind>>
AdmissionQueue::Expire(core::TimePoint aNow, const ServiceTimes& aTimes)
{
  std::vector<std::pair<Ticket, core::ErrorKind>> expired;
  for (std::size_t i = 0; i < mByDeadline.size(); ++i) {
    ByTime& calls = mByDeadline.at(i);
    while (!calls.empty() && calls.begin()->first < aNow + aTimes.at(i)) {
      expired.emplace_back(Take(calls.begin()->second).mTicket,
                           core::ErrorKind::DeadlineExceeded);
    }
  }
  while (!mByMaxWait.empty() && mByMaxWait.begin()->first < aNow) {
    expired.emplace_back(Take(mByMaxWait.begin()->second).mTicket,
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
  // Expire() takes calls strictly past their time.
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
