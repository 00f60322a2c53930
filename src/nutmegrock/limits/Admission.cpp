#include "limits/Admission.h"

#include <algorithm>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Maximum number of calls over which the slot time is averaged; the adapted
/// limit if that is lower.
constexpr double kMaxSlotTimeCalls = 50;
/// Share of the limit below which slots count as free.
constexpr double kIdleShare = 0.8;
/// Bounds of the retry delay of refused calls. The level needs several windows
/// to fall, and a longer delay would outlast the overload.
constexpr std::chrono::milliseconds kMinRetryDelay{ 100 };
constexpr std::chrono::milliseconds kMaxRetryDelay{ 1000 };
/// Time in which the queue drains after a measurement of the limit.
constexpr std::chrono::milliseconds kProbeDrainTime{ 50 };

} // namespace

Admission::Admission(const ConcurrencyLimit& aLimit,
                     AdmissionQueue aQueue,
                     const AdmissionLevel& aLevel)
  : mLimit(aLimit)
  , mQueue(std::move(aQueue))
  , mLevel(aLevel)
{
}

core::Expected<Admission>
Admission::Create(const AdmissionSettings& aSettings)
{
  auto limit = ConcurrencyLimit::Create(aSettings.mLimit);
  if (!limit) {
    return tl::unexpected(limit.error());
  }
  auto queue = AdmissionQueue::Create(aSettings.mQueue);
  if (!queue) {
    return tl::unexpected(queue.error());
  }
  auto level = AdmissionLevel::Create(aSettings.mLevel);
  if (!level) {
    return tl::unexpected(level.error());
  }
  return Admission(*limit, std::move(*queue), *level);
}

AdmissionQueue::ServiceTimes
Admission::ServiceTimesAt(core::TimePoint aNow) const
{
  AdmissionQueue::ServiceTimes times;
  for (std::size_t i = 0; i < times.size(); ++i) {
    times.at(i) = mServiceTimes.at(i).Estimate(aNow);
  }
  return times;
}

AdmissionResult
Admission::Offer(core::TimePoint aNow, const AdmissionRequest& aRequest)
{
  AdmissionResult result;
  Adapt(aNow);
  // Expired calls must not evict others from a full queue.
  DispatchQueued(aNow, result);
  const auto index = static_cast<std::size_t>(aRequest.mImportance);
  if (!mLevel.OnArrival(aNow, aRequest.mImportance, aRequest.mCohort)) {
    Refuse(aRequest, core::ErrorKind::LevelTooLow, result);
  } else if (aNow + mServiceTimes.at(index).Estimate(aNow) >
             aRequest.mDeadline) {
    Refuse(aRequest, core::ErrorKind::DeadlineExceeded, result);
  } else if (mQueue.Size() == 0 && InFlight() < Limit()) {
    Start(aNow, aRequest, result);
    mLevel.OnStart(core::Duration{ 0 });
  } else if (aRequest.mMaxWait <= core::Duration{ 0 }) {
    mLevel.OnQueueRefusal();
    Refuse(aRequest, core::ErrorKind::QueueTimeout, result);
  } else if (const auto evicted = mQueue.Push(aNow, aRequest)) {
    mLevel.OnQueueRefusal();
    Refuse(*evicted, core::ErrorKind::QueueFull, result);
  }
  DispatchQueued(aNow, result);
  return result;
}

AdmissionResult
Admission::Finish(core::TimePoint aNow,
                  std::uint64_t aId,
                  const CallOutcome& aOutcome)
{
  AdmissionResult result;
  const auto found = mRunning.find(aId);
  if (found == mRunning.end()) {
    return result;
  }
  const Running running = found->second;
  mRunning.erase(found);
  CallOutcome outcome = aOutcome;
  if (running.mCancelled && outcome.mKind == CallOutcomeKind::Ok) {
    // The backend server may have ended early because of the cancellation.
    outcome.mKind = CallOutcomeKind::Cancelled;
  }
  mLimit.OnFinish(aNow, running.mInFlight, running.mSample, outcome);
  mServiceTimes.at(static_cast<std::size_t>(running.mImportance))
    .Add(aNow, outcome);
  if (outcome.mKind == CallOutcomeKind::Shed) {
    mLevel.OnQueueRefusal();
  } else {
    const double held = Seconds(aNow - running.mStarted).count();
    const double maxCalls =
      std::min<double>(kMaxSlotTimeCalls, mLimit.AdaptedLimit());
    mSlotSeconds += (held - mSlotSeconds) / std::min(++mEndedCalls, maxCalls);
  }
  Adapt(aNow);
  DispatchQueued(aNow, result);
  return result;
}

AdmissionResult
Admission::Cancel(core::TimePoint aNow, std::uint64_t aId)
{
  AdmissionResult result;
  if (const auto waiting = mQueue.Remove(aId)) {
    Refuse(*waiting, core::ErrorKind::Cancelled, result);
  } else if (const auto found = mRunning.find(aId); found != mRunning.end()) {
    found->second.mCancelled = true;
  }
  DispatchQueued(aNow, result);
  return result;
}

AdmissionResult
Admission::Tick(core::TimePoint aNow)
{
  AdmissionResult result;
  Adapt(aNow);
  DispatchQueued(aNow, result);
  return result;
}

core::TimePoint
Admission::NextTick(core::TimePoint aNow) const
{
  core::TimePoint adapt = mLevel.NextAdapt();
  if (adapt != core::TimePoint::max()) {
    adapt = std::max(adapt, mAdaptFrom);
  }
  return std::min(mQueue.NextExpiry(ServiceTimesAt(aNow)), adapt);
}

AdmissionResult
Admission::SetSlots(core::TimePoint aNow, std::uint32_t aSlots)
{
  AdmissionResult result;
  mLimit.SetSlots(aSlots);
  DispatchQueued(aNow, result);
  return result;
}

std::uint32_t
Admission::LoadPermille() const
{
  const std::uint64_t calls = std::uint64_t{ InFlight() } + Waiting();
  return static_cast<std::uint32_t>(calls * 1000 / mLimit.AdaptedLimit());
}

void
Admission::Start(core::TimePoint aNow,
                 const AdmissionRequest& aRequest,
                 AdmissionResult& aResult)
{
  const std::uint32_t inFlight = InFlight() + 1;
  mRunning.emplace(aRequest.mId,
                   Running{ aNow,
                            inFlight,
                            mLimit.OnStart(aNow, inFlight),
                            aRequest.mImportance,
                            false });
  aResult.mToStart.push_back(aRequest.mId);
}

void
Admission::Refuse(const AdmissionRequest& aRequest,
                  core::ErrorKind aKind,
                  AdmissionResult& aResult)
{
  const bool delay = core::RowOf(aKind).mAdvice == core::RetryAdvice::Later;
  aResult.mRefused.push_back(
    { aRequest.mId,
      aKind,
      delay ? RetryAfter(aRequest.mCohort) : std::chrono::milliseconds{ 0 } });
}

void
Admission::DispatchQueued(core::TimePoint aNow, AdmissionResult& aResult)
{
  if (mQueue.Size() == 0) {
    return;
  }
  for (const auto& [ticket, kind] : mQueue.Expire(aNow, ServiceTimesAt(aNow))) {
    mLevel.OnQueueRefusal();
    Refuse(ticket, kind, aResult);
  }
  while (InFlight() < Limit()) {
    const auto next = mQueue.Pop();
    if (!next) {
      break;
    }
    mLevel.OnStart(aNow - next->mArrived);
    Start(aNow, next->mRequest, aResult);
  }
}

void
Admission::Adapt(core::TimePoint aNow)
{
  if (mLimit.IsProbing()) {
    // A queue caused by a measurement below the limit is not an overload.
    mAdaptFrom = aNow + kProbeDrainTime;
  }
  if (aNow < mAdaptFrom) {
    return;
  }
  LevelInput input;
  if (const auto oldest = mQueue.OldestArrival()) {
    input.mOldestWait = aNow - *oldest;
  }
  input.mWaiting = mQueue.Size();
  input.mServiceTime =
    std::chrono::duration_cast<core::Duration>(Seconds{ mSlotSeconds });
  if (mSlotSeconds > 0) {
    input.mCapacity = mLimit.AdaptedLimit() / mSlotSeconds;
  }
  input.mIdle = input.mWaiting == 0 && InFlight() < kIdleShare * Limit();
  mLevel.Adapt(aNow, input);
  mQueue.SetOverloaded(mLevel.Current() > core::Level{});
}

std::chrono::milliseconds
Admission::RetryAfter(core::Cohort aCohort) const
{
  // A higher level takes longer to fall. The spread by cohort keeps refused
  // callers from retrying at the same moment.
  const core::Level level = mLevel.Current();
  const auto height =
    static_cast<unsigned>(level.mImportance) * 128U + level.mCohort;
  const auto delay = kMinRetryDelay + std::chrono::milliseconds{ height } +
                     std::chrono::milliseconds{ aCohort };
  return std::min(delay, kMaxRetryDelay);
}

} // namespace nutmegrock::limits
