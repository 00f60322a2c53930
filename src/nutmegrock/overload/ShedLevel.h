#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <deque>

namespace nutmegrock::overload {

struct ShedLevelSettings
{
  /// Load that admission aims at, as a share of what a service can do.
  double mTarget = 0.92;
  /// Larger loads count as this one, so that a burst of a moment does not shut
  /// everything out.
  double mMaxLoad = 2.5;
  /// The load reported now was caused by what was admitted between these times
  /// before: work above the service comes first, and reports take time to
  /// spread.
  core::Duration mLagBegin = std::chrono::milliseconds{ 1'000 };
  core::Duration mLagEnd = std::chrono::milliseconds{ 150 };
  /// Time constant of the load's average, about the length of the lag.
  core::Duration mSmoothing = std::chrono::milliseconds{ 400 };
  /// Time constant of the demand's average.
  core::Duration mDemandMemory = std::chrono::seconds{ 4 };
  /// Least share of the demand that is admitted, so that a recovery is seen.
  double mMin = 0.02;
};

/// Which part of the work for one service this node admits. The share of the
/// demand that fits is found by proportion: if the share W led to the load U,
/// then W * target / U leads to the target. W is a decision and not a
/// measurement, so all nodes that hear of the same load move alike. The share
/// is given to the most important priorities first. Not synchronized.
class ShedLevel
{
public:
  /// Priorities that are told apart; larger numbers count as the last.
  static constexpr std::size_t kPriorities = 8;

  explicit ShedLevel(ShedLevelSettings aSettings = {});

  /// A request of that priority arrived that costs the service this much.
  void OnDemand(core::TimePoint aNow,
                std::uint32_t aPriority,
                double aSlotSeconds);
  /// The load of the service at present. Call it about every 50 ms.
  void Update(core::TimePoint aNow, double aLoad);
  /// Share of the requests of that priority that is admitted, 0 to 1.
  double Admitted(std::uint32_t aPriority) const;
  /// Share of all work that is admitted; above 1 nothing is shed.
  double Share() const { return mShare; }
  double Load() const { return mLoad; }

private:
  struct Past
  {
    core::TimePoint mAt;
    double mShare = 1;
  };

  double LaggedShare(core::TimePoint aNow) const;
  void FadeDemand(core::TimePoint aNow);

  const ShedLevelSettings mSettings;
  double mShare = 2;
  double mLoad = 0;
  core::TimePoint mUpdatedAt;
  std::deque<Past> mPast;
  std::array<double, kPriorities> mDemand{};
  core::TimePoint mDecayedAt;
};

} // namespace nutmegrock::overload
