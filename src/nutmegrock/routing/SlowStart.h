#pragma once

#include "core/Time.h"

namespace nutmegrock::routing {

/// Slow start: share of the full weight that a new or returning backend server
/// gets. It grows linearly, so that cold caches and connection pools do not get
/// the full load at once.
class SlowStart
{
public:
  /// aStart is the share at the beginning, in (0, 1]; the full weight is
  /// reached after aRamp. A ramp of zero gives the full weight at once.
  SlowStart(core::Duration aRamp, double aStart);

  /// The share at aNow of a server that started at aSince.
  double Share(core::TimePoint aNow, core::TimePoint aSince) const;

private:
  core::Duration mRamp;
  double mStart;
};

} // namespace nutmegrock::routing
