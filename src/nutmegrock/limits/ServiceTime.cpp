#include "limits/ServiceTime.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Half-life of the estimate while no call ends, in seconds.
constexpr double kHalfLifeSeconds = 0.25;
/// Relative steps of the estimate per call. A step up three times the step down
/// keeps it at the upper quartile; with the median, half of the calls admitted
/// just in time would miss their deadline.
constexpr double kStepUp = 0.09;
constexpr double kStepDown = 0.03;

} // namespace

void
ServiceTime::Add(core::TimePoint aNow, const CallOutcome& aOutcome)
{
  const double seconds = Seconds(aOutcome.mLatency).count();
  // The latency of a timed-out call is a lower bound; failed or refused calls
  // carry no information.
  const bool counts =
    aOutcome.mKind == CallOutcomeKind::Ok ||
    (aOutcome.mKind == CallOutcomeKind::TimedOut && seconds > mSeconds);
  if (!counts || seconds <= 0) {
    return;
  }
  if (mSeconds <= 0) {
    mSeconds = seconds;
  } else {
    mSeconds *= seconds > mSeconds ? 1 + kStepUp : 1 - kStepDown;
  }
  mAt = aNow;
}

core::Duration
ServiceTime::Estimate(core::TimePoint aNow) const
{
  if (mSeconds <= 0) {
    return core::Duration{ 0 };
  }
  // No call ends within one typical service time, so the decay starts after it.
  const double idle = Seconds(aNow - mAt).count() - mSeconds;
  const double halvings = std::max(0.0, idle / kHalfLifeSeconds);
  return std::chrono::duration_cast<core::Duration>(
    Seconds{ mSeconds * std::exp2(-halvings) });
}

} // namespace nutmegrock::limits
