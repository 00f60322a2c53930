#include "limits/LatencySample.h"

#include <algorithm>

namespace nutmegrock::limits {

void
LatencySample::Add(double aSeconds)
{
  ++mCount;
  mSum += aSeconds;
  mSquares += aSeconds * aSeconds;
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

} // namespace nutmegrock::limits
