#pragma once

#include "core/Time.h"
#include "routing/Ejection.h"

namespace nutmegrock::routing {

struct RouterSettings
{
  EjectionSettings mEjection;
  /// Time over which the weight of a new server ramps up.
  core::Duration mRamp = std::chrono::seconds{ 10 };
  /// The same for a server that returns from an ejection; below the 3 s allowed
  /// for recovery.
  core::Duration mReturnRamp = std::chrono::milliseconds{ 1500 };
  /// Weight at the beginning of a ramp, as a share of the full weight.
  double mRampStart = 0.1;
  /// Load of the own availability zone, as a share of its slots, from which on
  /// requests may go to other zones, as long as those are less loaded.
  double mSpillBegin = 0.7;
  /// The zone must also be more loaded than all zones together by this much, as
  /// a share of the slots. Smaller differences are left to whoever places whole
  /// requests, which costs fewer bytes between zones.
  double mSpillMargin = 0;
  /// Change of the share that leaves the zone, for each 20 ms and each unit of
  /// load above that of all zones.
  double mSpillGain = 0.05;
  /// One in this many requests of a service may go to an ejected server.
  std::uint32_t mProbeEvery = 25;
  /// Age at which a reported load no longer counts.
  core::Duration mReportLifetime = std::chrono::seconds{ 1 };
  /// Time for which a server that refused a call as leaving is left out;
  /// afterwards the member table has the news.
  core::Duration mGoneFor = std::chrono::seconds{ 5 };

  bool operator==(const RouterSettings&) const = default;
};

} // namespace nutmegrock::routing
