#pragma once

#include "core/Time.h"
#include "routing/Ejection.h"

namespace nutmegrock::routing {

struct RouterSettings
{
  EjectionSettings mEjection;
  /// Slow-start time over which the weight of a new server ramps up.
  core::Duration mRamp = std::chrono::seconds{ 10 };
  /// The same for a server that returns from an ejection; below the 3 s allowed
  /// for recovery.
  core::Duration mReturnRamp = std::chrono::milliseconds{ 1500 };
  /// Initial weight of a ramp, as a share of the full weight.
  double mRampStart = 0.1;
  /// Load of the own availability zone, as a share of its slots, above which
  /// requests may go to other zones that are less loaded.
  double mSpillBegin = 0.7;
  /// Minimum difference, as a share of the slots, by which the zone must be
  /// more loaded than all zones together. Smaller differences are left to the
  /// placement of whole requests, which costs fewer bytes between zones.
  double mSpillMargin = 0;
  /// Change of the share that leaves the zone, per 20 ms and per unit of excess
  /// load.
  double mSpillGain = 0.05;
  /// One in this many requests of a service may probe each ejected server.
  std::uint32_t mRequestsPerProbe = 25;
  /// Minimum number of requests of a service between two probes, however many
  /// servers are ejected.
  std::uint32_t mMinRequestsBetweenProbes = 5;
  /// Age at which a reported load expires.
  core::Duration mReportLifetime = std::chrono::seconds{ 1 };
  /// Time for which a server that refused a call because it is leaving is
  /// excluded; by then the member table is up to date.
  core::Duration mUnavailableTime = std::chrono::seconds{ 5 };

  bool operator==(const RouterSettings&) const = default;
};

} // namespace nutmegrock::routing
