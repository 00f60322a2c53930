#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <deque>

namespace nutmegrock::overload {

struct ShedLevelSettings
{
  /// Target load, as a share of the capacity of a service.
  double mTarget = 0.92;
  /// Loads are clipped to this value, so that a short burst does not lead to
  /// refusing everything.
  double mMaxLoad = 2.5;
  /// The present load results from what was admitted between these times
  /// before: requests run above the service first, and reports take time to
  /// propagate.
  core::Duration mLagBegin = std::chrono::milliseconds{ 1'000 };
  core::Duration mLagEnd = std::chrono::milliseconds{ 150 };
  /// Time constant of the moving average of the load, about the length of the
  /// lag.
  core::Duration mSmoothing = std::chrono::milliseconds{ 400 };
  /// Time constant of the moving average of the demand.
  core::Duration mDemandDecayTime = std::chrono::seconds{ 4 };
  /// Minimum share of the demand that is admitted, so that a recovery is
  /// noticed.
  double mMinShare = 0.02;
};

/// Load shedding for one service at this node: the share of the demand that is
/// admitted. It is found by proportion: if the share W led to the load U, then
/// W * target / U leads to the target. W is a decision and not a measurement,
/// so all nodes that receive the same load make the same adjustment. The share
/// is given to the most important priorities first. Not synchronized.
class ShedLevel
{
public:
  /// Number of distinct priorities; larger values count as the last one.
  static constexpr std::size_t kPriorities = 8;

  explicit ShedLevel(ShedLevelSettings aSettings = {});

  /// A request of that priority arrived, with this cost at the service.
  void OnDemand(core::TimePoint aNow,
                std::uint32_t aPriority,
                double aSlotSeconds);
  /// Updates the share from the present load of the service. To be called about
  /// every 50 ms.
  void Update(core::TimePoint aNow, double aLoad);
  /// Admitted share of the requests of that priority, 0 to 1.
  double Admitted(std::uint32_t aPriority) const;
  /// Admitted share of the total demand; above 1 nothing is shed.
  double Share() const { return mShare; }
  double Load() const { return mLoad; }

private:
  struct PastShare
  {
    core::TimePoint mAt;
    double mShare = 1;
  };

  double LaggedShare(core::TimePoint aNow) const;
  void DecayDemand(core::TimePoint aNow);

  const ShedLevelSettings mSettings;
  double mShare = 2;
  double mLoad = 0;
  core::TimePoint mUpdatedAt;
  std::deque<PastShare> mHistory;
  std::array<double, kPriorities> mDemand{};
  core::TimePoint mDecayedAt;
};

} // namespace nutmegrock::overload
