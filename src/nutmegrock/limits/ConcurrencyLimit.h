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
  /// Share of the slots at which a fresh limit starts.
  double mColdStartShare = 0.5;
  /// Latency at the limit, as a multiple of the latency at half of it, up to
  /// which the limit grows. 1 stands for no queue at the server, 2 for a server
  /// that completes nothing more at the limit than at half of it.
  double mTolerance = 1.25;
  /// Growth of the limit per sample near the limit of the last cut.
  double mGrowth = 0.06;
  /// Calls of one sample.
  std::uint32_t mSampleCalls = 32;
  /// Shortest time over which the calls of a sample start.
  core::Duration mSampleTime = std::chrono::milliseconds{ 20 };
  /// Longest time between two measurements of the baseline while the limit is
  /// in use.
  core::Duration mProbeInterval = std::chrono::seconds{ 4 };
  /// Shortest time without growth after a cut.
  core::Duration mHoldAfterCut = std::chrono::seconds{ 1 };

  bool operator==(const ConcurrencyLimitSettings&) const = default;
};

/// Adaptive bound of the calls in flight at one backend server, from the
/// observations of its node. It compares the latency at the limit with the
/// latency at a part of the limit: a limit is right when lowering it would
/// lower the throughput. The baseline is measured again from time to time and
/// whenever the latency rises, so a server that is slower for every call keeps
/// its limit, and one that has lost capacity gets a lower one.
///
/// A sample is a set of calls that started one after the other, and is complete
/// when nearly all of them have ended. Calls that end within some time would be
/// a biased sample: after each change of the load the short ones end first.
///
/// Not synchronized; does not allocate.
class ConcurrencyLimit
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<ConcurrencyLimit> Create(
    const ConcurrencyLimitSettings& aSettings);

  /// A call starts. aInFlight counts the calls in flight, itself included. The
  /// result names the sample it belongs to and is handed to OnFinish().
  std::uint32_t OnStart(core::TimePoint aNow, std::uint32_t aInFlight);
  /// A call ended. aInFlight is that of OnStart().
  void OnFinish(core::TimePoint aNow,
                std::uint32_t aInFlight,
                std::uint32_t aSample,
                const CallOutcome& aOutcome);
  /// The backend server has reported another number of slots.
  void SetSlots(std::uint32_t aSlots);

  /// Most calls in flight now; a part of the adapted limit during a
  /// measurement.
  std::uint32_t Limit() const;
  /// Whether the limit is lowered for a measurement.
  bool IsProbing() const { return mProbing; }
  /// The adapted limit, not lowered for a measurement.
  std::uint32_t AdaptedLimit() const;

private:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings);

  void OnShed(core::TimePoint aNow, std::uint32_t aInFlight);
  /// Raises the limit quickly towards the one before the server shed calls.
  void RegrowAfterShed(core::TimePoint aNow);
  void AddToSample(const CallOutcome& aOutcome);
  void StartSample();
  /// Calls that the present sample takes.
  std::uint32_t WantedCalls() const;
  /// Ends the sample if it is complete, or cannot become so.
  void CheckSample(core::TimePoint aNow);
  void EndLoaded(core::TimePoint aNow);
  void Judge(core::TimePoint aNow);
  void StartProbe(core::TimePoint aNow);
  /// Discards the baseline and measures it again.
  void Remeasure(core::TimePoint aNow);
  void EndProbe(core::TimePoint aNow);
  void SetBaseline(core::TimePoint aNow, const LatencySample& aSample);
  void SetLimit(double aLimit);
  void Cut(core::TimePoint aNow, double aLimit);
  void Grow(core::TimePoint aNow);
  /// Logarithm by which the latency at the limit is above the tolerance and
  /// aSigmas standard deviations; the server is saturated if it is positive.
  double Excess(double aSigmas) const;

  ConcurrencyLimitSettings mSettings;
  double mLimit = 1;

  /// Sample being collected, of calls at the limit or, while probing, below it.
  LatencySample mSample;
  std::uint32_t mSampleId = 1;
  core::TimePoint mSampleStart;
  std::uint32_t mTaken = 0;
  std::uint32_t mOpen = 0;

  /// Last sample at the limit, pooled with those before it while they agree.
  LatencySample mLoaded;
  double mLoadedLimit = 0;
  /// The last sample showed a sudden rise of the latency.
  bool mJumped = false;
  /// Last sample at a part of the limit.
  LatencySample mBaseline;
  core::TimePoint mBaselineAt;
  bool mProbing = false;
  core::TimePoint mProbeStart;
  /// Share of the limit used during a measurement.
  double mShare;
  /// Limit to take if the present measurement shows a loss of throughput; 0
  /// for none.
  double mKneeGuess = 0;

  /// Limit after the last cut; 0 before the first one.
  double mKnee = 0;
  /// Limit at which the present growth began; 0 while it does not grow.
  double mGrownFrom = 0;
  core::TimePoint mNoGrowthBefore;
  core::TimePoint mNoShedCutBefore;
  /// Limit to return to quickly once the server sheds no more; 0 for none.
  double mBeforeShed = 0;
  /// A call ended well since the last cut by a shed call.
  bool mEndedWell = true;
};

} // namespace nutmegrock::limits
