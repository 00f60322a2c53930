#include "routing/SlowStart.h"

namespace nutmegrock::routing {

SlowStart::SlowStart(core::Duration aRamp, double aStart)
  : mRamp(aRamp)
  , mStart(aStart)
{
}

double
SlowStart::Share(core::TimePoint aNow, core::TimePoint aSince) const
{
  // Compared before subtracting: aSince may be TimePoint::min(), and the
  // difference would overflow.
  if (aSince <= aNow - mRamp) {
    return 1;
  }
  if (aSince >= aNow) {
    return mStart;
  }
  const auto age = static_cast<double>((aNow - aSince).count());
  return mStart + (1 - mStart) * age / static_cast<double>(mRamp.count());
}

} // namespace nutmegrock::routing
