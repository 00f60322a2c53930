#pragma once

#include "core/Time.h"

#include <array>
#include <cstdint>
#include <deque>

namespace nutmegrock::overload {

struct ShedLevelSettings
{
  /// Target load, as a share of the capacity of a service. It has to be clearly
  /// above the load of a server that is just fully used, or full use counts as
  /// overload.
  double mTarget = 0.96;
  /// Loads are clipped to this value, so that a short burst does not lead to
  /// refusing everything.
  double mMaxLoad = 2.5;
  /// Age of a load report when it is used.
  core::Duration mReportDelay = std::chrono::milliseconds{ 100 };
  /// Time constant of the moving average that serving nodes report as the load.
  core::Duration mServerSmoothing = std::chrono::milliseconds{ 200 };
  /// Time constant of the moving average of the reported load.
  core::Duration mSmoothing = std::chrono::milliseconds{ 400 };
  /// Maximum spread of the calls of a request.
  core::Duration mMaxSpread = std::chrono::seconds{ 4 };
  /// Time constant of the moving average of the demand.
  core::Duration mDemandDecayTime = std::chrono::seconds{ 4 };
  /// Minimum share of the demand that is admitted, so that a recovery is
  /// noticed.
  double mMinShare = 0.02;
};

/// Load shedding for one service at this node: the share of the demand that is
/// admitted. It is found by proportion: if the share W led to the load U, then
/// W * target / U leads to the target. W is a decision and not a measurement,
/// so all nodes that receive the same load make the same adjustment. Past
/// shares pass through the same delays and moving averages as the load that
/// they caused; comparing the load with later shares would make both
/// oscillate. The share is given to the most important priorities first. Not
/// synchronized.
class ShedLevel
{
public:
  /// Number of distinct priorities; larger values count as the last one.
  static constexpr std::size_t kPriorities = 8;

  explicit ShedLevel(ShedLevelSettings aSettings = {});

  /// A request of that priority arrived, with this cost at the service. Its
  /// calls reach the service over the time aSpread after its admission.
  void OnDemand(core::TimePoint aNow,
                std::uint32_t aPriority,
                double aSlotSeconds,
                core::Duration aSpread);
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

  core::Duration Spread() const;
  double ArrivingShare(core::TimePoint aNow) const;
  void DecayDemand(core::TimePoint aNow);

  const ShedLevelSettings mSettings;
  double mShare = 2;
  double mLoad = 0;
  /// The share that led to the load, averaged as the servers average their load
  /// and as mLoad averages the reports.
  double mServerShare = 1;
  double mLoadShare = 1;
  core::TimePoint mUpdatedAt;
  std::deque<PastShare> mHistory;
  std::array<double, kPriorities> mDemand{};
  /// Sum of slot seconds times spread in seconds, decayed as the demand.
  double mDemandSpread = 0;
  core::TimePoint mDecayedAt;
};

} // namespace nutmegrock::overload
