#include "routing/Ejection.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegrock::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// Relative step of the running median per response.
constexpr double kMedianStep = 0.06;
/// Time constant in seconds of the decay of the failed share of a server
/// without attempts; below the 3 s allowed for recovery.
constexpr double kFailureDecaySeconds = 1;
/// Responses between two updates of the median over the servers.
constexpr std::uint32_t kMedianUpdateResponses = 16;

} // namespace

Ejection::Ejection(const EjectionSettings& aSettings, EjectionHook aOnEjection)
  : mSettings(aSettings)
  , mOnEjection(std::move(aOnEjection))
{
}

void
Ejection::SetServers(std::span<const core::Incarnation> aServers)
{
  std::vector<Health> servers;
  servers.reserve(aServers.size());
  mEjected = 0;
  for (const core::Incarnation incarnation : aServers) {
    const auto found = std::find_if(
      mServers.begin(), mServers.end(), [&](const Health& aHealth) {
        return aHealth.mIncarnation == incarnation;
      });
    if (found != mServers.end()) {
      servers.push_back(std::move(*found));
    } else {
      servers.emplace_back();
      servers.back().mIncarnation = incarnation;
    }
    mEjected += servers.back().mEjected ? 1 : 0;
  }
  mServers = std::move(servers);
  mScratch.reserve(mServers.size());
  UpdateMedian();
}

void
Ejection::OnStart(core::TimePoint aNow,
                  std::size_t aServer,
                  std::optional<core::Duration> aTypicalTime)
{
  Health& health = mServers.at(aServer);
  const auto later =
    std::find_if(health.mCalls.rbegin(),
                 health.mCalls.rend(),
                 [&](const Call& aCall) { return aCall.mStart <= aNow; });
  health.mCalls.insert(later.base(), { aNow, aTypicalTime.value_or(Median()) });
  if (health.mEjected && aNow >= health.mProbeAt) {
    health.mProbing = true;
  }
}

void
Ejection::OnEnd(core::TimePoint aNow,
                std::size_t aServer,
                AttemptOutcome aOutcome,
                core::Duration aLatency,
                core::Duration aQueueTime)
{
  Health& health = mServers.at(aServer);
  const core::Duration typical = RemoveCall(health, aNow - aLatency);
  const core::Duration run_time =
    std::max(core::Duration(0), aLatency - aQueueTime);
  Decay(aNow, health);
  const bool failed =
    aOutcome == AttemptOutcome::Failed || aOutcome == AttemptOutcome::TimedOut;
  if (aOutcome == AttemptOutcome::Cancelled) {
    health.mProbing = false;
    return;
  }
  if (aOutcome != AttemptOutcome::TimedOut) {
    health.mLastResponse = aNow;
  }
  health.mAttempts += 1;
  if (failed) {
    health.mFailures += 1;
    ++health.mErrorsInRow;
  } else {
    health.mErrorsInRow = 0;
  }
  if (aOutcome == AttemptOutcome::Ok) {
    const double seconds = Seconds(run_time).count();
    const double step = 1 + kMedianStep;
    health.mMedian = health.mMedian <= 0        ? seconds
                     : seconds > health.mMedian ? health.mMedian * step
                                                : health.mMedian / step;
    ++health.mResponses;
    if (++mResponsesSinceMedian >= kMedianUpdateResponses || mMedian <= 0) {
      UpdateMedian();
    }
  }
  if (health.mEjected) {
    if (health.mProbing) {
      const bool slow =
        typical > core::Duration(0) &&
        Seconds(run_time) > mSettings.mLatencyFactor * Seconds(typical) &&
        run_time > mSettings.mLatencyFloor;
      OnProbeEnd(aNow, health, !failed && !slow);
    }
    return;
  }
  if (health.mErrorsInRow >= mSettings.mConsecutiveErrors &&
      FailsMoreThanOthers(health)) {
    Eject(aNow, health, EjectionReason::ConsecutiveErrors);
  } else if (health.mAttempts >= mSettings.mMinAttempts &&
             health.mFailures >= mSettings.mErrorShare * health.mAttempts &&
             FailsMoreThanOthers(health)) {
    Eject(aNow, health, EjectionReason::ErrorShare);
  } else if (IsLatencyOutlier(health)) {
    Eject(aNow, health, EjectionReason::Latency);
  }
}

bool
Ejection::IsEjected(core::TimePoint aNow, std::size_t aServer)
{
  Health& health = mServers.at(aServer);
  if (!health.mEjected && IsOverdue(aNow, health)) {
    Eject(aNow, health, EjectionReason::Overdue);
  }
  return health.mEjected;
}

bool
Ejection::IsProbeDue(core::TimePoint aNow, std::size_t aServer) const
{
  const Health& health = mServers.at(aServer);
  return health.mEjected && !health.mProbing && aNow >= health.mProbeAt;
}

core::TimePoint
Ejection::ReturnedAt(std::size_t aServer) const
{
  return mServers.at(aServer).mReturnedAt;
}

std::uint32_t
Ejection::InFlight(std::size_t aServer) const
{
  return static_cast<std::uint32_t>(mServers.at(aServer).mCalls.size());
}

double
Ejection::FailedShare(core::TimePoint aNow, std::size_t aServer) const
{
  const Health& health = mServers.at(aServer);
  if (health.mFailures <= 0) {
    return 0;
  }
  // One successful and one failed attempt are added, so that the first failure
  // after an idle period is not a share of 1. A server that is avoided gets no
  // attempts that could clear it, so the share also decays over time.
  const double age = std::max(0.0, Seconds(aNow - health.mDecayedAt).count());
  return health.mFailures / (health.mAttempts + 2) *
         std::exp(-age / kFailureDecaySeconds);
}

core::Duration
Ejection::Median() const
{
  return std::chrono::duration_cast<core::Duration>(Seconds{ mMedian });
}

void
Ejection::Eject(core::TimePoint aNow, Health& aHealth, EjectionReason aReason)
{
  const auto maxEjected = static_cast<std::uint32_t>(
    mSettings.mMaxShare * static_cast<double>(mServers.size()));
  if (mEjected >= maxEjected) {
    return;
  }
  ++mEjected;
  ++mCounts.at(static_cast<std::size_t>(aReason));
  aHealth.mEjected = true;
  aHealth.mProbing = false;
  aHealth.mSuccessfulProbes = 0;
  aHealth.mBackoff = mSettings.mFirstBackoff;
  aHealth.mProbeAt = aNow + aHealth.mBackoff;
  if (mOnEjection) {
    mOnEjection(aHealth.mIncarnation, aReason);
  }
}

void
Ejection::OnProbeEnd(core::TimePoint aNow, Health& aHealth, bool aSuccessful)
{
  aHealth.mProbing = false;
  if (!aSuccessful) {
    aHealth.mSuccessfulProbes = 0;
    aHealth.mBackoff = std::min(aHealth.mBackoff * 2, mSettings.mMaxBackoff);
    aHealth.mProbeAt = aNow + aHealth.mBackoff;
  } else if (++aHealth.mSuccessfulProbes >= mSettings.mProbesToReturn) {
    Reinstate(aNow, aHealth);
  }
}

void
Ejection::Reinstate(core::TimePoint aNow, Health& aHealth)
{
  --mEjected;
  aHealth.mEjected = false;
  aHealth.mReturnedAt = aNow;
  aHealth.mErrorsInRow = 0;
  aHealth.mAttempts = 0;
  aHealth.mFailures = 0;
  aHealth.mMedian = 0;
  aHealth.mResponses = 0;
  if (mOnEjection) {
    mOnEjection(aHealth.mIncarnation, std::nullopt);
  }
}

void
Ejection::Decay(core::TimePoint aNow, Health& aHealth) const
{
  if (aNow <= aHealth.mDecayedAt) {
    return;
  }
  const double keep =
    std::exp(-(Seconds(aNow - aHealth.mDecayedAt) / mSettings.mDecayTime));
  aHealth.mAttempts *= keep;
  aHealth.mFailures *= keep;
  aHealth.mDecayedAt = aNow;
}

core::Duration
Ejection::RemoveCall(Health& aHealth, core::TimePoint aStart) const
{
  auto& calls = aHealth.mCalls;
  if (calls.empty()) {
    return Median();
  }
  auto call = std::lower_bound(calls.begin(),
                               calls.end(),
                               aStart,
                               [](const Call& aCall, core::TimePoint aTime) {
                                 return aCall.mStart < aTime;
                               });
  if (call == calls.end()) {
    --call;
  }
  const core::Duration typical = call->mTypicalTime;
  calls.erase(call);
  return typical;
}

bool
Ejection::IsOverdue(core::TimePoint aNow, const Health& aHealth) const
{
  if (aHealth.mCalls.size() < mSettings.mOverdueCalls ||
      mSettings.mOverdueCalls == 0 ||
      aHealth.mLastResponse >= aNow - mSettings.mOverdueFloor) {
    return false;
  }
  std::uint32_t overdue = 0;
  for (const Call& call : aHealth.mCalls) {
    const core::Duration expected =
      std::max(mSettings.mOverdueFloor,
               std::chrono::duration_cast<core::Duration>(
                 mSettings.mOverdueFactor * Seconds(call.mTypicalTime)));
    const core::TimePoint latest = aNow - expected;
    if (call.mStart < latest && aHealth.mLastResponse < latest &&
        ++overdue >= mSettings.mOverdueCalls) {
      return true;
    }
  }
  return false;
}

bool
Ejection::FailsMoreThanOthers(const Health& aHealth) const
{
  double attempts = 0;
  double failures = 0;
  for (const Health& other : mServers) {
    if (&other != &aHealth && !other.mEjected) {
      attempts += other.mAttempts;
      failures += other.mFailures;
    }
  }
  const double own = aHealth.mFailures / std::max(1.0, aHealth.mAttempts);
  return attempts < 1 || own >= mSettings.mErrorFactor * failures / attempts;
}

bool
Ejection::IsLatencyOutlier(const Health& aHealth) const
{
  return aHealth.mResponses >= mSettings.mMinAttempts && mMedian > 0 &&
         aHealth.mMedian > Seconds(mSettings.mLatencyFloor).count() &&
         aHealth.mMedian > mSettings.mLatencyFactor * mMedian;
}

void
Ejection::UpdateMedian()
{
  mResponsesSinceMedian = 0;
  mScratch.clear();
  for (const Health& health : mServers) {
    if (health.mMedian > 0 && !health.mEjected) {
      mScratch.push_back(health.mMedian);
    }
  }
  if (mScratch.empty()) {
    return;
  }
  // The lower of the two middle values, so that of two servers the slow one is
  // recognized as the outlier.
  const auto middle =
    mScratch.begin() + static_cast<std::ptrdiff_t>((mScratch.size() - 1) / 2);
  std::nth_element(mScratch.begin(), middle, mScratch.end());
  mMedian = *middle;
}

} // namespace nutmegrock::routing
