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
/// Time between two measurements at half the limit, in latencies. A measurement
/// takes about three latencies at half of the throughput, so this costs 1%.
constexpr double kProbeGap = 150;
/// Latencies to wait after a change of the limit or of its use before calls
/// count.
constexpr double kSettle = 2;
/// Latencies after which a measurement without enough calls ends.
constexpr double kStuck = 10;
/// Latencies without growth after a cut.
constexpr double kHoldLatencies = 20;
/// Longest time without growth after a cut, in seconds.
constexpr double kLongestHold = 3;
/// Multiple of the limit of the last cut from which on growth is fast.
constexpr double kBeyondKnee = 1.4;
/// Largest growth per window.
constexpr double kMostGrowth = 0.16;
/// Standard deviations by which a window, or a measurement, must be above the
/// tolerance. There are many windows, so they need more to keep false alarms
/// rare; a measurement mostly follows a suspicion, and sees a ratio of 2 in 16
/// calls.
constexpr double kWindowSigmas = 2;
constexpr double kProbeSigmas = 1;
/// Share of the throughput at the limit from which on a lower limit counts as
/// completing as many calls.
constexpr double kNothingLost = 0.85;
/// Share of the limit at which the baseline is measured. When the latency has
/// risen the share is the one that the rise suggests, which tells a loss of
/// capacity from slower calls in few calls.
constexpr double kUsualShare = 0.5;
constexpr double kSmallestShare = 0.25;
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
  if (!mProbing) {
    return AdaptedLimit();
  }
  return std::max(1U, static_cast<std::uint32_t>(std::lround(mLimit * mShare)));
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
  mNoGrowthBefore = aNow + mSettings.mHoldAfterCut;
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
  const bool loaded = share >= kLoadedShare || aInFlight >= Limit();
  const bool low = !loaded && share >= kLowFrom && share <= kLowTo;
  // Short calls end first after the use has changed, so calls count only once
  // the use has been the same for a while.
  if (!loaded) {
    StartCounting(aNow);
  }
  if (!low) {
    mLow = {};
    mLowFrom = aNow + Settle();
  }
  if (loaded && aNow >= mCountFrom) {
    mWindow.Add(seconds);
    const double length =
      std::max(Seconds(mSettings.mWindow).count(), mWindow.Mean());
    if (mWindow.Count() >= mSettings.mWindowCalls &&
        Seconds(aNow - mCountFrom).count() >= length) {
      EndWindow(aNow);
    }
  } else if (low && aNow >= mLowFrom) {
    mLow.Add(seconds);
    if (mLow.Count() >= mSettings.mWindowCalls) {
      EndBaseline(aNow);
    }
  }
}

double
ConcurrencyLimit::BaselineCalls() const
{
  // Few calls at a time make many calls take long; a smaller share shows the
  // same difference in fewer calls.
  const double most = std::max(mSettings.mWindowCalls, kFewestCalls);
  return std::clamp<double>(AdaptedLimit(), kFewestCalls, most) * mShare /
         kUsualShare;
}

double
ConcurrencyLimit::Excess(double aSigmas) const
{
  const double noise =
    std::sqrt(mLoaded.LogVariance() + mBaseline.LogVariance());
  return std::log(mLoaded.Mean() / mBaseline.Mean() / mSettings.mTolerance) -
         aSigmas * noise;
}

core::Duration
ConcurrencyLimit::Settle() const
{
  return ToDuration(kSettle * std::max(mLoaded.Mean(), mBaseline.Mean()));
}

void
ConcurrencyLimit::StartCounting(core::TimePoint aNow)
{
  // Calls that end right after a change of the limit are the short ones of
  // those started since, or were started before it.
  mCountFrom = aNow + Settle();
  mWindow = {};
  mPoolWindows = false;
}

void
ConcurrencyLimit::EndWindow(core::TimePoint aNow)
{
  // Part of a rise is explained by the growth of the limit.
  const double grown = mLimit / std::max(1.0, mWindowLimit);
  const bool changed = mJumped;
  mJumped = mLoaded.Count() > 0 && !changed &&
            mWindow.Mean() > kJump * grown * mLoaded.Mean();
  if (mPoolWindows && grown < 1.01 && mWindow.Agrees(mLoaded)) {
    mLoaded.Pool(mWindow);
  } else {
    mLoaded = mWindow;
  }
  const double length = Seconds(aNow - mCountFrom).count();
  mPoolWindows = true;
  mWindowLimit = mLimit;
  mWindow = {};
  mCountFrom = aNow;
  if (mJumped) {
    // This window holds calls from before and after the change; measure once a
    // whole window shows the server as it is now.
    StartCounting(aNow);
    return;
  }
  if (changed || mBaseline.Count() == 0) {
    Remeasure(aNow);
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
  const bool saturated = Excess(kWindowSigmas) > 0;
  if (saturated && mGrownFrom <= 0) {
    Remeasure(aNow);
  } else if (age > interval) {
    StartProbe(aNow);
  } else if (saturated) {
    // The growth went too far; the limit before it was right.
    const double ratio = mLoaded.Mean() / mBaseline.Mean();
    Cut(aNow, std::max(mGrownFrom, mLimit * mSettings.mTolerance / ratio));
    StartCounting(aNow);
  } else {
    Grow(aNow, length);
  }
}

void
ConcurrencyLimit::Cut(core::TimePoint aNow, double aLimit)
{
  SetLimit(std::min(aLimit, mLimit));
  mKnee = mLimit;
  mGrownFrom = 0;
  const double hold = std::clamp(kHoldLatencies * mLoaded.Mean(),
                                 Seconds(mSettings.mHoldAfterCut).count(),
                                 kLongestHold);
  mNoGrowthBefore = std::max(mNoGrowthBefore, aNow + ToDuration(hold));
}

void
ConcurrencyLimit::Grow(core::TimePoint aNow, double aSeconds)
{
  if (aNow < mNoGrowthBefore || mLimit >= mSettings.mSlots) {
    mGrownFrom = 0;
    return;
  }
  if (mGrownFrom <= 0) {
    mGrownFrom = mLimit;
  }
  // Slow near the limit of the last cut, and fast once it is clear that more
  // is possible now.
  const double windows = aSeconds / Seconds(mSettings.mWindow).count();
  const double growth =
    mLimit > kBeyondKnee * mKnee ? kMostGrowth : mSettings.mGrowth * windows;
  SetLimit(
    std::max(mLimit * (1 + std::min(growth, kMostGrowth)), mLimit + 0.5));
}

void
ConcurrencyLimit::EndBaseline(core::TimePoint aNow)
{
  if (mBaseline.Agrees(mLow)) {
    mBaseline.Pool(mLow);
  } else {
    mBaseline = mLow;
  }
  mBaselineAt = aNow;
  mLow = {};
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
ConcurrencyLimit::Remeasure(core::TimePoint aNow)
{
  if (mBaseline.Count() > 0) {
    mShare = std::clamp(
      mBaseline.Mean() / mLoaded.Mean(), kSmallestShare, kUsualShare);
  }
  mBaseline = {};
  StartProbe(aNow);
}

void
ConcurrencyLimit::EndProbe(core::TimePoint aNow)
{
  mProbing = false;
  if (mLow.Count() < 2) {
    // No answer at half the limit either; lower it until calls come back.
    SetLimit(mLimit * kMostCut);
    mKneeGuess = 0;
    mShare = kUsualShare;
    mLow = {};
    StartCounting(aNow);
    return;
  }
  const LatencySample lower = mLow;
  EndBaseline(aNow);
  const double ratio = mLoaded.Mean() / mBaseline.Mean();
  const double share = mShare;
  mShare = kUsualShare;
  if (Excess(kProbeSigmas) > 0 && ratio * share >= kNothingLost) {
    // The lower limit completes as much: keep it, and try half of that.
    mKneeGuess = mLimit * std::max(share, mSettings.mTolerance / ratio);
    Cut(aNow, mLimit * share);
    mLoaded = lower;
    mBaseline = {};
    StartProbe(aNow);
    return;
  }
  if (Excess(kProbeSigmas) > 0) {
    Cut(aNow, mLimit * mSettings.mTolerance / ratio);
  } else if (mKneeGuess > mLimit) {
    // The last step down lost throughput, so the knee is where the ratio of
    // the step before it tells.
    SetLimit(mKneeGuess);
    mKnee = mLimit;
  }
  mKneeGuess = 0;
  StartCounting(aNow);
}

} // namespace nutmegrock::limits
