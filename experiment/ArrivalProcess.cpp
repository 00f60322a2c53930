#include "experiment/ArrivalProcess.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::experiment {

ArrivalProcess::ArrivalProcess(std::uint64_t aSeed, core::TimePoint aStart)
  : mRandom(aSeed)
  , mLast(aStart)
{
}

core::Duration
ArrivalProcess::InterarrivalTime()
{
  // std::exponential_distribution may differ between standard libraries, so
  // the inverse transform is computed here from 53 random bits, uniform in
  // (0, 1].
  const double uniform =
    (static_cast<double>(mRandom() >> 11U) + 1.0) / 9007199254740992.0;
  return core::Duration(
    static_cast<std::int64_t>(-std::log(uniform) / mRate * 1e9));
}

void
ArrivalProcess::SetRate(double aRate, core::TimePoint aNow)
{
  mRate = aRate;
  mLast = std::max(mLast, aNow);
  mNext = mRate > 0.0 ? mLast + InterarrivalTime() : core::TimePoint::max();
}

void
ArrivalProcess::Advance()
{
  if (mRate > 0.0) {
    mLast = mNext;
    mNext = mLast + InterarrivalTime();
  }
}

} // namespace nutmegrock::experiment
