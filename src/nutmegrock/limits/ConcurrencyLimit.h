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
  /// Growth of the limit per window.
  double mGrowth = 0.08;
  /// Shortest window.
  core::Duration mWindow = std::chrono::milliseconds{ 50 };
  /// Calls of one window or measurement; fewer when the limit is lower.
  std::uint32_t mWindowCalls = 40;
  /// Longest time between two measurements at half the limit while it is used.
  core::Duration mProbeInterval = std::chrono::seconds{ 4 };
  /// Time without growth after the server has shed a call.
  core::Duration mHoldAfterShed = std::chrono::seconds{ 1 };

  bool operator==(const ConcurrencyLimitSettings&) const = default;
};

/// Adaptive bound of the calls in flight at one backend server, from the
/// observations of its node. It compares the latency at the limit with the
/// latency at half of the limit: a limit is right when lowering it would lower
/// the throughput. The baseline is measured again from time to time, so a
/// server that is slower for every call keeps its limit, and one that has lost
/// capacity gets a lower one. Not synchronized; does not allocate.
class ConcurrencyLimit
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<ConcurrencyLimit> Create(
    const ConcurrencyLimitSettings& aSettings);

  /// A call ended. aInFlight counts the calls in flight when it started, itself
  /// included.
  void OnFinish(core::TimePoint aNow,
                std::uint32_t aInFlight,
                const CallOutcome& aOutcome);
  /// The backend server has reported another number of slots.
  void SetSlots(std::uint32_t aSlots);

  /// Most calls in flight now; half of the adapted limit during a measurement.
  std::uint32_t Limit() const;
  /// Whether the limit is lowered for a measurement.
  bool IsProbing() const { return mProbing; }
  /// The adapted limit, not lowered for a measurement.
  std::uint32_t AdaptedLimit() const;

private:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings& aSettings);

  void OnShed(core::TimePoint aNow, std::uint32_t aInFlight);
  void Sample(core::TimePoint aNow, std::uint32_t aInFlight, double aSeconds);
  std::uint32_t BaselineCalls() const;
  void EndWindow(core::TimePoint aNow);
  void EndBaseline(core::TimePoint aNow);
  void StartProbe(core::TimePoint aNow);
  void EndProbe(core::TimePoint aNow);
  void SetLimit(double aLimit);
  /// Begins a new window once the latencies show the present limit.
  void StartCounting(core::TimePoint aNow);
  /// Logarithm by which the latency at the limit is above the tolerance and the
  /// spread of the samples; the server is saturated if it is positive.
  double Excess() const;

  ConcurrencyLimitSettings mSettings;
  double mLimit = 1;
  /// Calls that started at or near the limit.
  LatencySample mWindow;
  /// Calls that started near half of the limit, being collected.
  LatencySample mLow;
  core::TimePoint mLowStart;
  /// Last complete measurement at half of the limit.
  LatencySample mBaseline;
  core::TimePoint mBaselineAt;
  /// Last complete window at the limit.
  LatencySample mLoaded;
  bool mProbing = false;
  /// Calls that end before it do not count.
  core::TimePoint mCountFrom;
  core::TimePoint mNoGrowthBefore;
  core::TimePoint mNoShedCutBefore;
};

} // namespace nutmegrock::limits
