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
/// takes about three latencies at half of the throughput, so this costs 1%.
constexpr double kProbeGap = 150;
/// Latencies to wait after a change of the limit before calls count.
constexpr double kSettle = 2;
/// Latencies after which a measurement without enough calls ends.
constexpr double kStuck = 10;
/// Age of the baseline, in latencies, up to which a window is compared with it
/// without measuring again.
constexpr double kFresh = 20;
/// Latency at the limit over that at half of it from which on the lower half
/// completes about as many calls.
constexpr double kNothingLost = 1.7;
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
  return std::max(1U, static_cast<std::uint32_t>(std::lround(mLimit)));
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
        Sample(aNow, aInFlight, seconds);
      }
      return;
    case CallEnd::Ok:
      break;
  }
  Sample(aNow, aInFlight, seconds);
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
                         std::uint32_t aInFlight,
                         double aSeconds)
{
  const double share = aInFlight / mLimit;
  const double clip = kClip * mLoaded.Mean();
  const double seconds = clip > 0 ? std::min(aSeconds, clip) : aSeconds;
  if (mProbing) {
    if (aNow >= mCountFrom && aInFlight <= Limit()) {
      mLow.Add(seconds);
    }
    const bool stuck =
      Seconds(aNow - mCountFrom).count() > kStuck * mLoaded.Mean();
    if (mLow.Count() >= BaselineCalls() || stuck) {
      EndProbe(aNow);
    }
    return;
  }
  if (share >= kLoadedShare || aInFlight >= Limit()) {
    if (aNow < mCountFrom) {
      return;
    }
    mWindow.Add(seconds);
    const double length =
      std::max(Seconds(mSettings.mWindow).count(), mWindow.Mean());
    if (mWindow.Count() >= BaselineCalls() &&
        Seconds(aNow - mCountFrom).count() >= length) {
      EndWindow(aNow);
    }
  } else if (share >= kLowFrom && share <= kLowTo) {
    if (Seconds(aNow - mLowStart) > kCollectFor) {
      mLow = {};
      mLowStart = aNow;
    }
    mLow.Add(seconds);
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

double
ConcurrencyLimit::Excess() const
{
  // Two sources of noise; one standard deviation keeps false alarms rare and
  // still sees a ratio of 2 in 16 calls.
  const double noise =
    std::sqrt(mLoaded.LogVariance() + mBaseline.LogVariance());
  return std::log(mLoaded.Mean() / mBaseline.Mean() / mSettings.mTolerance) -
         noise;
}

void
ConcurrencyLimit::StartCounting(core::TimePoint aNow)
{
  // Calls that end right after a change of the limit are the short ones of
  // those started since, or were started before it.
  const double settle = kSettle * std::max(mLoaded.Mean(), mBaseline.Mean());
  mCountFrom = aNow + ToDuration(settle);
  mWindow = {};
}

void
ConcurrencyLimit::EndWindow(core::TimePoint aNow)
{
  const bool jumped =
    mLoaded.Count() > 0 && mWindow.Mean() > kJump * mLoaded.Mean();
  mLoaded = mWindow;
  mWindow = {};
  mCountFrom = aNow;
  if (mBaseline.Count() == 0 || jumped) {
    StartProbe(aNow);
    return;
  }
  if (mLoaded.Mean() < mBaseline.Mean() / mSettings.mTolerance) {
    // The server has become faster than the baseline.
    mBaseline = mLoaded;
    mBaselineAt = aNow;
  }
  const double age = Seconds(aNow - mBaselineAt).count();
  const double interval = std::max(Seconds(mSettings.mProbeInterval).count(),
                                   kProbeGap * mLoaded.Mean());
  const bool saturated = Excess() > 0;
  if (age > interval || (saturated && age > kFresh * mLoaded.Mean())) {
    StartProbe(aNow);
  } else if (saturated) {
    const double ratio = mLoaded.Mean() / mBaseline.Mean();
    SetLimit(mLimit * std::max(kMostCut, mSettings.mTolerance / ratio));
    StartCounting(aNow);
  } else if (aNow >= mNoGrowthBefore) {
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
  if (AdaptedLimit() <= 1) {
    mBaseline = mLoaded;
    mBaselineAt = aNow;
    SetLimit(mLimit + 0.5);
    return;
  }
  mProbing = true;
  mLow = {};
  StartCounting(aNow);
}

void
ConcurrencyLimit::EndProbe(core::TimePoint aNow)
{
  mProbing = false;
  if (mLow.Count() < 2) {
    // No answer at half the limit either; lower it until calls come back.
    SetLimit(mLimit * kMostCut);
    mLow = {};
    StartCounting(aNow);
    return;
  }
  EndBaseline(aNow);
  const double ratio = mLoaded.Mean() / mBaseline.Mean();
  if (Excess() > 0 && ratio >= kNothingLost) {
    // Half of the limit completes as much: keep it, and try half of that.
    SetLimit(mLimit / 2);
    mLoaded = mBaseline;
    StartProbe(aNow);
    return;
  }
  if (Excess() > 0) {
    SetLimit(mLimit * mSettings.mTolerance / ratio);
  }
  StartCounting(aNow);
}

} // namespace nutmegrock::limits
