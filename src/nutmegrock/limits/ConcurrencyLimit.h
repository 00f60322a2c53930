#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "limits/CallOutcome.h"
#include "limits/LatencySample.h"

#include <cstdint>

namespace nutmegrock::limits {

struct ConcurrencyLimitSettings
{
  /// Slots that the backend server reports; the limit never exceeds them.
  std::uint32_t mSlots = 1;
  /// Initial limit, as a share of the slots.
  double mColdStartShare = 0.5;
  /// Maximum latency at the limit, as a multiple of the latency at half of it,
  /// up to which the limit grows. 1 means no queue at the server, 2 means a
  /// server that completes no more at the limit than at half of it.
  double mTolerance = 1.25;
  /// Relative growth of the limit per sample near the limit of the last cut.
  double mGrowth = 0.06;
  /// Number of calls per sample.
  std::uint32_t mSampleCalls = 32;
  /// Minimum time over which the calls of a sample start.
  core::Duration mSampleTime = std::chrono::milliseconds{ 20 };
  /// Maximum time between two measurements of the baseline while the limit is
  /// in use.
  core::Duration mProbeInterval = std::chrono::seconds{ 4 };
  /// Minimum time without growth after a cut.
  core::Duration mHoldAfterCut = std::chrono::seconds{ 1 };

  bool operator==(const ConcurrencyLimitSettings&) const = default;
};

/// Adaptive limit of the calls in flight at one backend server, from the
/// observations of its node. It compares the latency at the limit with a
/// baseline, the latency at a part of the limit: a limit is right if lowering
/// it would lower the throughput. The baseline is measured again periodically
/// and whenever the latency rises, so a server that is slower for every call
/// keeps its limit, and one that has lost capacity gets a lower one.
///
/// A sample is a set of calls started one after the other, and is complete when
/// nearly all of them have ended. Sampling by end time would be biased: after
/// each change of the load short calls end first.
///
/// Not synchronized; does not allocate.
class ConcurrencyLimit
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<ConcurrencyLimit> Create(
    const ConcurrencyLimitSettings& aSettings);

  /// A call starts. aInFlight is the number of calls in flight, including this
  /// one. Returns the id of the sample it belongs to, 0 for none, to be passed
  /// to OnFinish().
  std::uint32_t OnStart(core::TimePoint aNow, std::uint32_t aInFlight);
  /// A call ended. aInFlight is the value passed to OnStart().
  void OnFinish(core::TimePoint aNow,
                std::uint32_t aInFlight,
                std::uint32_t aSample,
                const CallOutcome& aOutcome);
  /// The backend server has reported a new number of slots.
  void SetSlots(std::uint32_t aSlots);

  /// Maximum number of calls in flight at present; a part of the adapted limit
  /// during a measurement.
  std::uint32_t Limit() const;
  /// Returns true while the limit is lowered for a measurement.
  bool IsProbing() const { return mProbing; }
  /// The adapted limit, regardless of a measurement.
  std::uint32_t AdaptedLimit() const;

private:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings);

  void OnShed(core::TimePoint aNow, std::uint32_t aInFlight);
  /// Raises the limit quickly towards its value before the server shed calls.
  void RegrowAfterShed(core::TimePoint aNow);
  void AddToSample(const CallOutcome& aOutcome);
  void StartSample();
  /// Number of calls required for the present sample.
  std::uint32_t RequiredCalls() const;
  /// Ends the sample if it is complete or has timed out.
  void CheckSample(core::TimePoint aNow);
  void EndLoaded(core::TimePoint aNow);
  void Evaluate(core::TimePoint aNow);
  void StartProbe(core::TimePoint aNow);
  /// Discards the baseline and measures it again.
  void RemeasureBaseline(core::TimePoint aNow);
  void EndProbe(core::TimePoint aNow);
  void SetBaseline(core::TimePoint aNow, const LatencySample& aSample);
  void SetLimit(double aLimit);
  void Cut(core::TimePoint aNow, double aLimit);
  void Grow(core::TimePoint aNow);
  /// Logarithm of the ratio by which the latency at the limit exceeds the
  /// tolerance, less aSigmas standard deviations; the server is saturated if it
  /// is positive.
  double Excess(double aSigmas) const;

  ConcurrencyLimitSettings mSettings;
  double mLimit = 1;

  /// Present sample, of calls at the limit or, while probing, below it.
  LatencySample mSample;
  std::uint32_t mSampleId = 1;
  core::TimePoint mSampleStart;
  std::uint32_t mStartedCalls = 0;
  std::uint32_t mOpenCalls = 0;

  /// Last sample at the limit, pooled with earlier ones while they agree.
  LatencySample mLoaded;
  double mLoadedLimit = 0;
  /// True if the last sample showed a sudden rise of the latency.
  bool mJumped = false;
  /// Last sample at a part of the limit.
  LatencySample mBaseline;
  core::TimePoint mBaselineAt;
  bool mProbing = false;
  core::TimePoint mProbeStart;
  /// Share of the limit to use during a measurement.
  double mProbeShare;
  /// Limit to set if the present measurement shows a loss of throughput; 0 for
  /// none.
  double mSuspectedKnee = 0;

  /// Knee of the latency curve: limit after the last cut; 0 before the first
  /// cut.
  double mKnee = 0;
  /// Limit at which the present growth began; 0 while not growing.
  double mGrowthStart = 0;
  core::TimePoint mNoGrowthBefore;
  core::TimePoint mNoShedCutBefore;
  /// Limit to return to quickly once the server stops shedding calls; 0 for
  /// none.
  double mLimitBeforeShed = 0;
  /// True if a call succeeded since the last cut because of a shed call.
  bool mSucceededSinceCut = true;
};

} // namespace nutmegrock::limits
