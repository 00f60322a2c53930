#include "limits/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Minimum share of the limit in flight when a call starts for its latency to
/// count as latency at the limit.
constexpr double kLoadedShare = 0.85;
/// Minimum factor on the limit when a call was shed.
constexpr double kShedCutFactor = 0.7;
/// Factor of the latency between two samples, beyond what the growth of the
/// limit explains, that counts as a sudden rise.
constexpr double kJumpFactor = 1.4;
/// Latencies are clipped to this multiple of the mean, so that single
/// stragglers do not dominate.
constexpr double kClipFactor = 6;
/// A sample is complete when at most one in this many of its calls is still
/// open. Waiting for the last ones would double its time.
constexpr std::uint32_t kOpenDivisor = 16;
/// The same for a measurement, which costs throughput while it lasts. The open
/// calls then count as twice the mean, as the slowest quarter of calls with a
/// coefficient of variation of 0.7 takes.
constexpr std::uint32_t kOpenDivisorProbing = 4;
constexpr double kOpenLatencyFactor = 2;
/// A sample that is not complete after this time is discarded.
constexpr Seconds kSampleTimeout{ 5 };
/// Maximum duration of a measurement, in latencies.
constexpr double kMaxProbeLatencies = 12;
/// Minimum time between two measurements, in latencies. A measurement takes
/// about three latencies at half of the throughput, so this costs 1%.
constexpr double kProbeIntervalLatencies = 150;
/// Minimum calls of a measurement at half the limit.
constexpr std::uint32_t kMinProbeCalls = 16;
/// Minimum share of the throughput at the limit for a lower limit to count as
/// completing as many calls.
constexpr double kSameThroughputShare = 0.85;
/// Share of the limit at which the baseline is measured. After a rise of the
/// latency the share follows from the rise, which distinguishes a loss of
/// capacity from slower calls with few calls.
constexpr double kDefaultProbeShare = 0.5;
constexpr double kMinProbeShare = 0.33;
/// Time without growth after a cut: at least this many latencies, at most this
/// many seconds.
constexpr double kMinHoldLatencies = 20;
constexpr double kMaxHoldSeconds = 3;
/// Multiple of the limit of the last cut above which growth is fast.
constexpr double kFastGrowthRatio = 1.4;
/// Relative growth per sample above that, and before the first cut.
constexpr double kFastGrowth = 0.16;
constexpr double kColdGrowth = 0.5;
/// Standard deviations by which a sample at the limit, or a measurement, must
/// exceed the tolerance. Samples at the limit are frequent, so they need more
/// to keep false alarms rare; a measurement mostly follows a suspicion, and
/// detects a ratio of 2 in 16 calls.
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
  , mProbeShare(kDefaultProbeShare)
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
  return std::max(
    1U, static_cast<std::uint32_t>(std::lround(mLimit * mProbeShare)));
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
  // A server without slots still gets single calls, since admission has no
  // other way to notice that it works again.
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
  const bool full = mStartedCalls >= RequiredCalls() &&
                    aNow - mSampleStart >= mSettings.mSampleTime;
  if (!matches || full) {
    return 0;
  }
  if (mStartedCalls == 0) {
    mSampleStart = aNow;
  }
  ++mStartedCalls;
  ++mOpenCalls;
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
  if (aSample == mSampleId && mOpenCalls > 0) {
    --mOpenCalls;
    AddToSample(aOutcome);
  }
  CheckSample(aNow);
}

void
ConcurrencyLimit::AddToSample(const CallOutcome& aOutcome)
{
  const double seconds = Seconds(aOutcome.mLatency).count();
  const double typical = std::max(mLoaded.Mean(), mBaseline.Mean());
  // The latency of a call that timed out or was cancelled is a lower bound, so
  // it only counts if it is longer than typical.
  const bool bound = aOutcome.mKind == CallOutcomeKind::TimedOut ||
                     aOutcome.mKind == CallOutcomeKind::Cancelled;
  if (aOutcome.mKind == CallOutcomeKind::Ok || (bound && seconds > typical)) {
    const double clip = kClipFactor * mLoaded.Mean();
    mSample.Add(clip > 0 ? std::min(seconds, clip) : seconds);
  } else {
    --mStartedCalls;
  }
}

void
ConcurrencyLimit::OnShed(core::TimePoint aNow, std::uint32_t aInFlight)
{
  mNoGrowthBefore = aNow + mSettings.mHoldAfterCut;
  // The number of calls in flight when a call was shed is one too many. The
  // limit is cut once per round trip: later refusals concern calls sent before
  // the cut.
  if (aNow < mNoShedCutBefore || aInFlight > mLimit + 1) {
    return;
  }
  // If calls succeeded since the last cut, the server works at a part of the
  // limit. Otherwise it has failed, and the limit before the failure is a
  // better estimate than the cuts.
  if (mSucceededSinceCut || mLimitBeforeShed <= 0) {
    mLimitBeforeShed = mLimit * kShedCutFactor;
  }
  mSucceededSinceCut = false;
  SetLimit(std::max(mLimit * kShedCutFactor, aInFlight - 1.0));
  mKnee = mLimit;
  mGrowthStart = 0;
  mNoShedCutBefore = aNow + ToDuration(mLoaded.Mean());
}

void
ConcurrencyLimit::RegrowAfterShed(core::TimePoint aNow)
{
  mSucceededSinceCut = true;
  if (mLimitBeforeShed <= 0 || aNow < mNoGrowthBefore) {
    return;
  }
  if (mLimit >= mLimitBeforeShed) {
    mLimitBeforeShed = 0;
    return;
  }
  // One more per call doubles the limit in one latency. Samples at a limit of 1
  // took tens of seconds to raise it again after a server had shed all calls.
  SetLimit(std::min(mLimit + 1, mLimitBeforeShed));
  mKnee = mLimit;
  StartSample();
}

void
ConcurrencyLimit::StartSample()
{
  mSample = {};
  ++mSampleId;
  // 0 means no sample.
  mSampleId = std::max(mSampleId, 1U);
  mStartedCalls = 0;
  mOpenCalls = 0;
}

std::uint32_t
ConcurrencyLimit::RequiredCalls() const
{
  const std::uint32_t maxCalls =
    std::max(mSettings.mSampleCalls, kMinProbeCalls);
  if (mProbing) {
    // With few concurrent calls a sample takes long; a smaller share shows the
    // same difference in fewer calls.
    const auto calls = std::clamp(AdaptedLimit(), kMinProbeCalls, maxCalls);
    return static_cast<std::uint32_t>(calls * mProbeShare / kDefaultProbeShare);
  }
  // Before the first cut the limit grows on small samples; waiting for precise
  // figures would refuse calls while slots are free.
  return mKnee > 0 ? mSettings.mSampleCalls
                   : std::min(mSettings.mSampleCalls, kMinProbeCalls);
}

void
ConcurrencyLimit::CheckSample(core::TimePoint aNow)
{
  const bool full = mStartedCalls >= RequiredCalls() &&
                    aNow - mSampleStart >= mSettings.mSampleTime;
  const std::uint32_t divisor = mProbing ? kOpenDivisorProbing : kOpenDivisor;
  const bool complete = full && mOpenCalls <= mStartedCalls / divisor;
  if (mProbing) {
    const double maxSeconds =
      kMaxProbeLatencies *
      std::max(mLoaded.Mean(), Seconds(mSettings.mSampleTime).count());
    if (complete || Seconds(aNow - mProbeStart).count() > maxSeconds) {
      EndProbe(aNow);
    }
  } else if (complete) {
    EndLoaded(aNow);
  } else if (mStartedCalls > 0 && aNow - mSampleStart > kSampleTimeout &&
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
  // The growth of the limit explains a part of the rise.
  const double grown = mLimit / std::max(1.0, mLoadedLimit);
  const bool jumpedBefore = mJumped;
  mJumped =
    mLoaded.Count() > 0 && !jumpedBefore &&
    mSample.Mean() > kJumpFactor * std::max(1.0, grown) * mLoaded.Mean();
  if (mLoadedLimit == mLimit && mSample.Agrees(mLoaded)) {
    mLoaded.Pool(mSample);
  } else {
    mLoaded = mSample;
  }
  mLoadedLimit = mLimit;
  StartSample();
  if (mJumped) {
    // This sample may mix calls from before and after the change; the next one
    // shows the present state of the server.
    return;
  }
  if (mBaseline.Count() == 0 && mKnee <= 0) {
    // Growth from the cold-start limit starts with this sample as the baseline.
    SetBaseline(aNow, mLoaded);
  }
  if (jumpedBefore || mBaseline.Count() == 0) {
    RemeasureBaseline(aNow);
  } else {
    Evaluate(aNow);
  }
}

void
ConcurrencyLimit::Evaluate(core::TimePoint aNow)
{
  const double age = Seconds(aNow - mBaselineAt).count();
  const double interval = std::max(Seconds(mSettings.mProbeInterval).count(),
                                   kProbeIntervalLatencies * mLoaded.Mean());
  const bool saturated = Excess(kLoadedSigmas) > 0;
  if (saturated && mGrowthStart <= 0) {
    RemeasureBaseline(aNow);
  } else if (age > interval) {
    StartProbe(aNow);
  } else if (saturated) {
    // The limit grew too far. The limit before the growth was right, unless it
    // was the cold-start limit, which may already have been too high.
    const double ratio = mLoaded.Mean() / mBaseline.Mean();
    if (mKnee <= 0) {
      mBaseline = {};
    }
    Cut(aNow, std::max(mGrowthStart, mLimit * mSettings.mTolerance / ratio));
  } else {
    Grow(aNow);
  }
}

void
ConcurrencyLimit::Cut(core::TimePoint aNow, double aLimit)
{
  SetLimit(std::min(aLimit, mLimit));
  mKnee = mLimit;
  mGrowthStart = 0;
  const double hold = std::clamp(kMinHoldLatencies * mLoaded.Mean(),
                                 Seconds(mSettings.mHoldAfterCut).count(),
                                 kMaxHoldSeconds);
  mNoGrowthBefore = std::max(mNoGrowthBefore, aNow + ToDuration(hold));
}

void
ConcurrencyLimit::Grow(core::TimePoint aNow)
{
  if (aNow < mNoGrowthBefore || mLimit >= mSettings.mSlots) {
    mGrowthStart = 0;
    return;
  }
  if (mGrowthStart <= 0) {
    mGrowthStart = mLimit;
  }
  // Slow near the limit of the last cut, and fast once it is clear that more
  // is possible now.
  double growth = mSettings.mGrowth;
  if (mKnee <= 0) {
    growth = kColdGrowth;
  } else if (mLimit > kFastGrowthRatio * mKnee) {
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
ConcurrencyLimit::RemeasureBaseline(core::TimePoint aNow)
{
  if (mBaseline.Count() > 0) {
    mProbeShare = std::clamp(
      mBaseline.Mean() / mLoaded.Mean(), kMinProbeShare, kDefaultProbeShare);
  }
  mBaseline = {};
  StartProbe(aNow);
}

void
ConcurrencyLimit::EndProbe(core::TimePoint aNow)
{
  mProbing = false;
  LatencySample lower = mSample;
  for (std::uint32_t i = 0;
       i < std::min(mOpenCalls, mStartedCalls / kOpenDivisorProbing);
       ++i) {
    lower.Add(kOpenLatencyFactor * mSample.Mean());
  }
  const double share = mProbeShare;
  StartSample();
  mProbeShare = kDefaultProbeShare;
  if (lower.Count() < kMinProbeCalls / 4.0) {
    // Too few calls for a measurement.
    mSuspectedKnee = 0;
    return;
  }
  SetBaseline(aNow, lower);
  const double ratio = mLoaded.Mean() / mBaseline.Mean();
  const bool saturated = Excess(kProbeSigmas) > 0;
  if (saturated && ratio * share >= kSameThroughputShare) {
    // The lower limit has the same throughput: keep it, and try a part of it.
    mSuspectedKnee = mLimit * std::max(share, mSettings.mTolerance / ratio);
    Cut(aNow, mLimit * share);
    mLoaded = lower;
    mLoadedLimit = mLimit;
    mBaseline = {};
    StartProbe(aNow);
    return;
  }
  if (saturated) {
    Cut(aNow, mLimit * mSettings.mTolerance / ratio);
  } else if (mSuspectedKnee > mLimit) {
    // The last cut lost throughput, so the knee is where the ratio of the step
    // before it indicates.
    SetLimit(mSuspectedKnee);
    mKnee = mLimit;
  }
  mSuspectedKnee = 0;
}

} // namespace nutmegrock::limits
