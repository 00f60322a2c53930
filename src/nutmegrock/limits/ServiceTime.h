#pragma once

#include "core/Time.h"
#include "limits/CallOutcome.h"

namespace nutmegrock::limits {

/// Upper quartile of the recent times at the backend server, for dropping calls
/// that will hardly meet their deadline. Not synchronized.
class ServiceTime
{
public:
  void Add(core::TimePoint aNow, const CallOutcome& aOutcome);
  /// Zero when not known. The estimate shrinks while no call ends: if it
  /// exceeded every deadline, no call would run to correct it.
  core::Duration Estimate(core::TimePoint aNow) const;

private:
  double mSeconds = 0;
  core::TimePoint mAt;
};

} // namespace nutmegrock::limits
