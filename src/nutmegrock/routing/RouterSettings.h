#pragma once

#include "core/Time.h"
#include "routing/Ejection.h"

namespace nutmegrock::routing {

struct RouterSettings
{
  EjectionSettings mEjection;
  /// Time over which the weight of a new server ramps up.
  core::Duration mRamp = std::chrono::seconds{ 10 };
  /// Weight of a server that has just joined, as a share of its full weight.
  double mRampStart = 0.1;
  /// Load of the own availability zone, as a share of its slots, above which
  /// requests begin to spill over; all spill over at mSpillFull.
  double mSpillBegin = 0.7;
  double mSpillFull = 1.0;
  /// One in this many requests of a service goes to a server under probe.
  std::uint32_t mProbeEvery = 50;
  /// Age at which a reported load no longer counts.
  core::Duration mReportLifetime = std::chrono::seconds{ 1 };

  bool operator==(const RouterSettings&) const = default;
};

} // namespace nutmegrock::routing
