#pragma once

#include "core/Time.h"
#include "limits/CallOutcome.h"

namespace nutmegrock::limits {

/// Estimates the upper quartile of the recent service times at the backend
/// server, for refusing calls that would probably miss their deadline. Not
/// synchronized.
class ServiceTime
{
public:
  void Add(core::TimePoint aNow, const CallOutcome& aOutcome);
  /// The estimate; zero if unknown. It decays while no call ends: if it
  /// exceeded every deadline, no call would run to correct it.
  core::Duration Estimate(core::TimePoint aNow) const;

private:
  double mSeconds = 0;
  core::TimePoint mAt;
};

} // namespace nutmegrock::limits
