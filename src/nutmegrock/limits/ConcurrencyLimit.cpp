#include "limits/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Calls that started with at least this share of the limit in flight show the
/// latency at the limit.
constexpr double kLoadedShare = 0.85;
/// Largest cut by one shed call.
constexpr double kMaxCut = 0.7;
/// Rise of the latency between two samples that the growth of the limit does
/// not explain.
constexpr double kJump = 1.4;
/// Slower calls than this multiple of the mean count as this multiple, so that
/// single stragglers do not decide.
constexpr double kClip = 6;
/// A sample is complete when at most one in this many of its calls is open. The
/// last ones would double the time it takes.
constexpr std::uint32_t kOpenPart = 16;
/// The same for a measurement, which costs throughput as long as it takes. The
/// open calls count as twice the mean then, as the slowest quarter of calls
/// with a coefficient of variation of 0.7 takes.
constexpr std::uint32_t kOpenPartProbing = 4;
constexpr double kOpenLatency = 2;
/// A sample that is not complete after this time is given up.
constexpr Seconds kSampleLife{ 5 };
/// A measurement ends after this many latencies.
constexpr double kProbeLatencies = 12;
/// Time between two measurements, in latencies. A measurement takes about three
/// latencies at half of the throughput, so this costs 1%.
constexpr double kProbeGap = 150;
/// Fewest calls of a measurement, at half the limit.
constexpr std::uint32_t kFewestCalls = 16;
/// Share of the throughput at the limit from which on a lower limit counts as
/// completing as many calls.
constexpr double kNothingLost = 0.85;
/// Share of the limit at which the baseline is measured. When the latency has
/// risen the share is the one that the rise suggests, which tells a loss of
/// capacity from slower calls in few calls.
constexpr double kTypicalShare = 0.5;
constexpr double kSmallestShare = 0.33;
/// Time without growth after a cut: at least this many latencies, at most this
/// many seconds.
constexpr double kHoldLatencies = 20;
constexpr double kMaxHold = 3;
/// Multiple of the limit of the last cut from which on growth is fast.
constexpr double kBeyondKnee = 1.4;
/// Growth beyond that, and before the first cut.
constexpr double kFastGrowth = 0.16;
constexpr double kColdGrowth = 0.5;
/// Standard deviations by which a sample at the limit, or a measurement, must
/// be above the tolerance. There are many samples at the limit, so they need
/// more to keep false alarms rare; a measurement mostly follows a suspicion,
/// and sees a ratio of 2 in 16 calls.
constexpr double kLoadedSigmas = 2;
constexpr double kProbeSigmas = 1;

core::Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(Seconds{ aSeconds });
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings)
  : mSettings(aSettings)
  , mShare(kTypicalShare)
{
  SetLimit(aSettings.mSlots * aSettings.mColdStartShare);
}

core::Expected<ConcurrencyLimit>
ConcurrencyLimit::Create(const ConcurrencyLimitSettings& aSettings)
{
  if (aSettings.mSlots == 0 || !(aSettings.mColdStartShare > 0) ||
      aSettings.mColdStartShare > 1 || !(aSettings.mTolerance > 1) ||
      !(aSettings.mGrowth > 0) || aSettings.mSampleCalls == 0) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      "concurrency limit: slots, sample calls and growth must be positive, the "
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

std::uint32_t
ConcurrencyLimit::OnStart(core::TimePoint aNow, std::uint32_t aInFlight)
{
  CheckSample(aNow);
  const bool matches =
    mProbing ? aInFlight <= Limit()
             : aInFlight >= kLoadedShare * mLimit || aInFlight >= Limit();
  const bool full =
    mTaken >= WantedCalls() && aNow - mSampleStart >= mSettings.mSampleTime;
  if (!matches || full) {
    return 0;
  }
  if (mTaken == 0) {
    mSampleStart = aNow;
  }
  ++mTaken;
  ++mOpen;
  return mSampleId;
}

void
ConcurrencyLimit::OnFinish(core::TimePoint aNow,
                           std::uint32_t aInFlight,
                           std::uint32_t aSample,
                           const CallOutcome& aOutcome)
{
  if (aOutcome.mKind == CallOutcomeKind::Shed) {
    OnShed(aNow, aInFlight);
  } else if (aOutcome.mKind == CallOutcomeKind::Ok) {
    RegrowAfterShed(aNow);
  }
  if (aSample == mSampleId && mOpen > 0) {
    --mOpen;
    AddToSample(aOutcome);
  }
  CheckSample(aNow);
}

void
ConcurrencyLimit::AddToSample(const CallOutcome& aOutcome)
{
  const double seconds = Seconds(aOutcome.mLatency).count();
  const double usual = std::max(mLoaded.Mean(), mBaseline.Mean());
  // The latency of a call that did not end by itself is a lower bound; it tells
  // something when it is longer than usual.
  const bool bound = aOutcome.mKind == CallOutcomeKind::TimedOut ||
                     aOutcome.mKind == CallOutcomeKind::Cancelled;
  if (aOutcome.mKind == CallOutcomeKind::Ok || (bound && seconds > usual)) {
    const double clip = kClip * mLoaded.Mean();
    mSample.Add(clip > 0 ? std::min(seconds, clip) : seconds);
  } else {
    --mTaken;
  }
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
  // Calls that ended well since the last cut show that the server works at
  // part of the limit; without any it has failed, and the limit before says
  // more about it than the cuts.
  if (mEndedWell || mBeforeShed <= 0) {
    mBeforeShed = mLimit * kMaxCut;
  }
  mEndedWell = false;
  SetLimit(std::max(mLimit * kMaxCut, aInFlight - 1.0));
  mKnee = mLimit;
  mGrownFrom = 0;
  mNoShedCutBefore = aNow + ToDuration(mLoaded.Mean());
}

void
ConcurrencyLimit::RegrowAfterShed(core::TimePoint aNow)
{
  mEndedWell = true;
  if (mBeforeShed <= 0 || aNow < mNoGrowthBefore) {
    return;
  }
  if (mLimit >= mBeforeShed) {
    mBeforeShed = 0;
    return;
  }
  // One more for each call doubles the limit in one latency. Samples at a limit
  // of 1 took tens of seconds to raise it again after a server had shed all.
  SetLimit(std::min(mLimit + 1, mBeforeShed));
  mKnee = mLimit;
  StartSample();
}

void
ConcurrencyLimit::StartSample()
{
  mSample = {};
  ++mSampleId;
  // 0 stands for no sample.
  mSampleId = std::max(mSampleId, 1U);
  mTaken = 0;
  mOpen = 0;
}

std::uint32_t
ConcurrencyLimit::WantedCalls() const
{
  const std::uint32_t most = std::max(mSettings.mSampleCalls, kFewestCalls);
  if (mProbing) {
    // Few calls at a time make many calls take long; a smaller share shows the
    // same difference in fewer calls.
    const auto calls = std::clamp(AdaptedLimit(), kFewestCalls, most);
    return static_cast<std::uint32_t>(calls * mShare / kTypicalShare);
  }
  // A fresh limit grows first and is judged later; waiting for exact figures
  // would refuse work while slots are free.
  return mKnee > 0 ? mSettings.mSampleCalls
                   : std::min(mSettings.mSampleCalls, kFewestCalls);
}

void
ConcurrencyLimit::CheckSample(core::TimePoint aNow)
{
  const bool full =
    mTaken >= WantedCalls() && aNow - mSampleStart >= mSettings.mSampleTime;
  const std::uint32_t part = mProbing ? kOpenPartProbing : kOpenPart;
  const bool complete = full && mOpen <= mTaken / part;
  if (mProbing) {
    const double longest =
      kProbeLatencies *
      std::max(mLoaded.Mean(), Seconds(mSettings.mSampleTime).count());
    if (complete || Seconds(aNow - mProbeStart).count() > longest) {
      EndProbe(aNow);
    }
  } else if (complete) {
    EndLoaded(aNow);
  } else if (mTaken > 0 && aNow - mSampleStart > kSampleLife &&
             Seconds(aNow - mSampleStart).count() > 5 * mLoaded.Mean()) {
    StartSample();
  }
}

double
ConcurrencyLimit::Excess(double aSigmas) const
{
  const double noise =
    std::sqrt(mLoaded.LogVariance() + mBaseline.LogVariance());
  return std::log(mLoaded.Mean() / mBaseline.Mean() / mSettings.mTolerance) -
         aSigmas * noise;
}

void
ConcurrencyLimit::EndLoaded(core::TimePoint aNow)
{
  // Part of a rise is explained by the growth of the limit.
  const double grown = mLimit / std::max(1.0, mLoadedLimit);
  const bool jumpedBefore = mJumped;
  mJumped = mLoaded.Count() > 0 && !jumpedBefore &&
            mSample.Mean() > kJump * std::max(1.0, grown) * mLoaded.Mean();
  if (mLoadedLimit == mLimit && mSample.Agrees(mLoaded)) {
    mLoaded.Pool(mSample);
  } else {
    mLoaded = mSample;
  }
  mLoadedLimit = mLimit;
  StartSample();
  if (mJumped) {
    // This sample may hold calls from before and after the change; the next one
    // shows the server as it is now.
    return;
  }
  if (mBaseline.Count() == 0 && mKnee <= 0) {
    // Growth from the cold-start limit is a measurement of its own.
    SetBaseline(aNow, mLoaded);
  }
  if (jumpedBefore || mBaseline.Count() == 0) {
    Remeasure(aNow);
  } else {
    Judge(aNow);
  }
}

void
ConcurrencyLimit::Judge(core::TimePoint aNow)
{
  const double age = Seconds(aNow - mBaselineAt).count();
  const double interval = std::max(Seconds(mSettings.mProbeInterval).count(),
                                   kProbeGap * mLoaded.Mean());
  const bool saturated = Excess(kLoadedSigmas) > 0;
  if (saturated && mGrownFrom <= 0) {
    Remeasure(aNow);
  } else if (age > interval) {
    StartProbe(aNow);
  } else if (saturated) {
    // The growth went too far; the limit before it was right, unless it was the
    // cold-start limit, which may have been too high already.
    const double ratio = mLoaded.Mean() / mBaseline.Mean();
    if (mKnee <= 0) {
      mBaseline = {};
    }
    Cut(aNow, std::max(mGrownFrom, mLimit * mSettings.mTolerance / ratio));
  } else {
    Grow(aNow);
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
                                 kMaxHold);
  mNoGrowthBefore = std::max(mNoGrowthBefore, aNow + ToDuration(hold));
}

void
ConcurrencyLimit::Grow(core::TimePoint aNow)
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
  double growth = mSettings.mGrowth;
  if (mKnee <= 0) {
    growth = kColdGrowth;
  } else if (mLimit > kBeyondKnee * mKnee) {
    growth = kFastGrowth;
  }
  SetLimit(std::max(mLimit * (1 + growth), mLimit + 0.5));
}

void
ConcurrencyLimit::SetBaseline(core::TimePoint aNow,
                              const LatencySample& aSample)
{
  if (mBaseline.Agrees(aSample)) {
    mBaseline.Pool(aSample);
  } else {
    mBaseline = aSample;
  }
  mBaselineAt = aNow;
}

void
ConcurrencyLimit::StartProbe(core::TimePoint aNow)
{
  if (AdaptedLimit() <= 1) {
    mBaseline = {};
    SetBaseline(aNow, mLoaded);
    SetLimit(mLimit + 0.5);
    return;
  }
  mProbing = true;
  mProbeStart = aNow;
  StartSample();
}

void
ConcurrencyLimit::Remeasure(core::TimePoint aNow)
{
  if (mBaseline.Count() > 0) {
    mShare = std::clamp(
      mBaseline.Mean() / mLoaded.Mean(), kSmallestShare, kTypicalShare);
  }
  mBaseline = {};
  StartProbe(aNow);
}

void
ConcurrencyLimit::EndProbe(core::TimePoint aNow)
{
  mProbing = false;
  LatencySample lower = mSample;
  for (std::uint32_t i = 0; i < std::min(mOpen, mTaken / kOpenPartProbing);
       ++i) {
    lower.Add(kOpenLatency * mSample.Mean());
  }
  const double share = mShare;
  StartSample();
  mShare = kTypicalShare;
  if (lower.Count() < kFewestCalls / 4.0) {
    // Too little work for a measurement.
    mKneeGuess = 0;
    return;
  }
  SetBaseline(aNow, lower);
  const double ratio = mLoaded.Mean() / mBaseline.Mean();
  const bool saturated = Excess(kProbeSigmas) > 0;
  if (saturated && ratio * share >= kNothingLost) {
    // The lower limit completes as much: keep it, and try half of that.
    mKneeGuess = mLimit * std::max(share, mSettings.mTolerance / ratio);
    Cut(aNow, mLimit * share);
    mLoaded = lower;
    mLoadedLimit = mLimit;
    mBaseline = {};
    StartProbe(aNow);
    return;
  }
  if (saturated) {
    Cut(aNow, mLimit * mSettings.mTolerance / ratio);
  } else if (mKneeGuess > mLimit) {
    // The last step down lost throughput, so the knee is where the ratio of
    // the step before it tells.
    SetLimit(mKneeGuess);
    mKnee = mLimit;
  }
  mKneeGuess = 0;
}

} // namespace nutmegrock::limits
