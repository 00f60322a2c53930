#include "limits/ServiceTime.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// The estimate halves after each such time without a finished call.
constexpr double kForgetSeconds = 0.25;
/// Relative steps of the estimate per call. A step up three times the step down
/// holds it at the upper quartile: with the median, half of the calls that just
/// fit would run in vain.
constexpr double kStepUp = 0.09;
constexpr double kStepDown = 0.03;

} // namespace

void
ServiceTime::Add(core::TimePoint aNow, const CallOutcome& aOutcome)
{
  const double seconds = Seconds(aOutcome.mLatency).count();
  // A call that timed out would have taken longer than it did, and one that
  // failed or was refused says nothing.
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
  // No call ends for as long as one usually takes.
  const double idle = Seconds(aNow - mAt).count() - mSeconds;
  const double halvings = std::max(0.0, idle / kForgetSeconds);
  return std::chrono::duration_cast<core::Duration>(
    Seconds{ mSeconds * std::exp2(-halvings) });
}

} // namespace nutmegrock::limits
