#include "limits/LatencySample.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

void
LatencySample::Add(double aSeconds)
{
  ++mCount;
  mSum += aSeconds;
  mSquares += aSeconds * aSeconds;
}

void
LatencySample::Pool(const LatencySample& aOther)
{
  mCount = mCount / 2 + aOther.mCount;
  mSum = mSum / 2 + aOther.mSum;
  mSquares = mSquares / 2 + aOther.mSquares;
}

double
LatencySample::Mean() const
{
  return mCount == 0 ? 0 : mSum / mCount;
}

double
LatencySample::LogVariance() const
{
  const double mean = Mean();
  if (mCount < 2 || mean <= 0) {
    return 1;
  }
  const double variance = std::max(0.0, mSquares / mCount - mean * mean);
  return variance / (mean * mean * mCount);
}

bool
LatencySample::Agrees(const LatencySample& aOther) const
{
  if (mCount == 0 || aOther.mCount == 0) {
    return false;
  }
  const double deviation = std::log(Mean() / aOther.Mean());
  return deviation * deviation < 4 * (LogVariance() + aOther.LogVariance());
}

} // namespace nutmegrock::limits
