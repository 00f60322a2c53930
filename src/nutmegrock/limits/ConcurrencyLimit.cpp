#include "limits/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Calls that started with at least this share of the limit in flight show the
/// latency at the limit.
constexpr double kLoadedShare = 0.85;
/// Calls that started with a share between these two show the baseline.
constexpr double kLowFrom = 0.3;
constexpr double kLowTo = 0.6;
/// Largest cut by one window or one shed call.
constexpr double kMostCut = 0.7;
/// Rise of the latency between two windows that the growth of the limit does
/// not explain: the server has changed and the baseline no longer holds.
constexpr double kJump = 1.4;
/// Slower calls than this multiple of the mean count as this multiple, so that
/// single stragglers do not decide.
constexpr double kClip = 6;
/// Baselines and windows older than this are collected anew.
constexpr Seconds kCollectFor{ 3 };
/// Time between two measurements at half the limit, in latencies. A measurement
/// takes about two latencies at half of the throughput, so this costs 1%.
constexpr double kProbeGap = 100;
/// Fewest calls of a measurement at half the limit.
constexpr std::uint32_t kFewestCalls = 16;

core::Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(Seconds{ aSeconds });
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings)
  : mSettings(aSettings)
{
  SetLimit(aSettings.mSlots * aSettings.mColdStartShare);
}

core::Expected<ConcurrencyLimit>
ConcurrencyLimit::Create(const ConcurrencyLimitSettings& aSettings)
{
  if (aSettings.mSlots == 0 || !(aSettings.mColdStartShare > 0) ||
      aSettings.mColdStartShare > 1 || !(aSettings.mTolerance > 1) ||
      !(aSettings.mGrowth > 0) || aSettings.mWindowCalls == 0) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      "concurrency limit: slots, window calls and growth must be positive, the "
      "cold-start share in (0, 1], the tolerance above 1");
  }
  return ConcurrencyLimit(aSettings);
}

std::uint32_t
ConcurrencyLimit::Limit() const
{
  return mProbing ? std::max(1U, AdaptedLimit() / 2) : AdaptedLimit();
}

std::uint32_t
ConcurrencyLimit::AdaptedLimit() const
{
  return std::max(1U, static_cast<std::uint32_t>(mLimit + 0.5));
}

void
ConcurrencyLimit::SetLimit(double aLimit)
{
  mLimit = std::clamp(aLimit, 1.0, static_cast<double>(mSettings.mSlots));
}

void
ConcurrencyLimit::SetSlots(std::uint32_t aSlots)
{
  // A server without slots still gets single calls; admission has no other
  // means to notice that it is able to work again.
  mSettings.mSlots = std::max(1U, aSlots);
  SetLimit(std::max(mLimit, aSlots * mSettings.mColdStartShare));
}

void
ConcurrencyLimit::OnFinish(core::TimePoint aNow,
                           std::uint32_t aInFlight,
                           const CallOutcome& aOutcome)
{
  const double seconds = Seconds(aOutcome.mLatency).count();
  const double usual = std::max(mLoaded.Mean(), mBaseline.Mean());
  switch (aOutcome.mKind) {
    case CallEnd::Shed:
      OnShed(aNow, aInFlight);
      return;
    case CallEnd::Failed:
      return;
    case CallEnd::TimedOut:
    case CallEnd::Cancelled:
      // The latency is only a lower bound; it tells something when it is
      // longer than usual.
      if (seconds > usual && usual > 0) {
        Sample(aNow, aNow - aOutcome.mLatency, aInFlight, seconds);
      }
      return;
    case CallEnd::Ok:
      break;
  }
  Sample(aNow, aNow - aOutcome.mLatency, aInFlight, seconds);
}

void
ConcurrencyLimit::OnShed(core::TimePoint aNow, std::uint32_t aInFlight)
{
  mNoGrowthBefore = aNow + mSettings.mHoldAfterShed;
  // The calls in flight when a call was shed are one too many. One cut per
  // round trip: later refusals answer calls sent before the cut.
  if (aNow < mNoShedCutBefore || aInFlight > mLimit + 1) {
    return;
  }
  SetLimit(std::max(mLimit * kMostCut, aInFlight - 1.0));
  mNoShedCutBefore = aNow + ToDuration(mLoaded.Mean());
}

void
ConcurrencyLimit::Sample(core::TimePoint aNow,
                         core::TimePoint aStarted,
                         std::uint32_t aInFlight,
                         double aSeconds)
{
  const double share = aInFlight / mLimit;
  if (mProbing) {
    if (aStarted >= mProbeStart && aInFlight <= Limit()) {
      mLow.Add(aSeconds);
    }
    const bool stuck =
      Seconds(aNow - mProbeStart).count() > 10 * mLoaded.Mean();
    if (mLow.Count() >= BaselineCalls() || stuck) {
      EndProbe(aNow);
    }
    return;
  }
  if (share >= kLoadedShare || aInFlight >= Limit()) {
    if (aStarted < mWindowStart) {
      return;
    }
    const double clip = kClip * mLoaded.Mean();
    mWindow.Add(clip > 0 ? std::min(aSeconds, clip) : aSeconds);
    if (mWindow.Count() >= mSettings.mWindowCalls) {
      EndWindow(aNow);
    }
  } else if (share >= kLowFrom && share <= kLowTo) {
    if (Seconds(aNow - mLowStart) > kCollectFor) {
      mLow = {};
      mLowStart = aNow;
    }
    mLow.Add(aSeconds);
    if (mLow.Count() >= BaselineCalls()) {
      EndBaseline(aNow);
    }
  }
}

std::uint32_t
ConcurrencyLimit::BaselineCalls() const
{
  // Few calls at a time make many calls take long.
  const std::uint32_t most = std::max(mSettings.mWindowCalls, kFewestCalls);
  return std::clamp(AdaptedLimit(), kFewestCalls, most);
}

bool
ConcurrencyLimit::IsSaturated(const LatencySample& aLoaded) const
{
  const double excess =
    std::log(aLoaded.Mean() / mBaseline.Mean() / mSettings.mTolerance);
  return excess > std::sqrt(aLoaded.LogVariance() + mBaseline.LogVariance());
}

void
ConcurrencyLimit::EndWindow(core::TimePoint aNow)
{
  const bool jumped =
    mLoaded.Count() > 0 && mWindow.Mean() > kJump * mLoaded.Mean();
  mLoaded = mWindow;
  mWindow = {};
  mWindowStart = aNow;
  if (mBaseline.Count() > 0 && mLoaded.Mean() < mBaseline.Mean()) {
    mBaseline = mLoaded;
    mBaselineAt = aNow;
  }
  const double age = Seconds(aNow - mBaselineAt).count();
  const double interval = std::max(Seconds(mSettings.mProbeInterval).count(),
                                   kProbeGap * mLoaded.Mean());
  if (mBaseline.Count() == 0 || jumped || age > interval) {
    StartProbe(aNow);
    return;
  }
  if (!IsSaturated(mLoaded)) {
    Grow(aNow);
    return;
  }
  if (age > 10 * mLoaded.Mean()) {
    StartProbe(aNow);
    return;
  }
  const double ratio = mLoaded.Mean() / mBaseline.Mean();
  SetLimit(mLimit * std::max(kMostCut, mSettings.mTolerance / ratio));
}

void
ConcurrencyLimit::Grow(core::TimePoint aNow)
{
  if (aNow >= mNoGrowthBefore) {
    SetLimit(std::max(mLimit * (1 + mSettings.mGrowth), mLimit + 0.5));
  }
}

void
ConcurrencyLimit::EndBaseline(core::TimePoint aNow)
{
  mBaseline = mLow;
  mBaselineAt = aNow;
  mLow = {};
  mLowStart = aNow;
}

void
ConcurrencyLimit::StartProbe(core::TimePoint aNow)
{
  if (Limit() <= 1) {
    mBaseline = mLoaded;
    mBaselineAt = aNow;
    Grow(aNow);
    return;
  }
  mProbing = true;
  mProbeStart = aNow;
  mLow = {};
}

void
ConcurrencyLimit::EndProbe(core::TimePoint aNow)
{
  mProbing = false;
  mWindow = {};
  mWindowStart = aNow;
  if (mLow.Count() < 2) {
    // No answer at half the limit either; lower it until calls come back.
    SetLimit(mLimit * kMostCut);
    mLow = {};
    return;
  }
  EndBaseline(aNow);
  if (IsSaturated(mLoaded)) {
    const double ratio = mLoaded.Mean() / mBaseline.Mean();
    SetLimit(mLimit * std::max(0.5, mSettings.mTolerance / ratio));
  }
}

} // namespace nutmegrock::limits
