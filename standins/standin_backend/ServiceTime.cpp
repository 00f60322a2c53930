#include "standins/standin_backend/ServiceTime.h"

#include <cmath>

namespace nutmegrock::standin_backend {

namespace {

// Standard deviation of the logarithm: the 99th percentile is about 2.3 times
// the mean.
constexpr double kSigma = 0.4;

} // namespace

ServiceTime::ServiceTime(std::chrono::microseconds aMean,
                         Distribution aDistribution,
                         std::uint64_t aSeed)
  : mMeanMicros(static_cast<double>(aMean.count()))
  , mDistribution(aDistribution)
  , mRandom(aSeed)
{
}

core::Duration
ServiceTime::Sample()
{
  if (mMeanMicros <= 0.0) {
    return core::Duration::zero();
  }
  const std::lock_guard lock(mMutex);
  double micros = 0.0;
  if (mDistribution == Distribution::Lognormal) {
    const double mu = std::log(mMeanMicros) - kSigma * kSigma / 2;
    micros = std::lognormal_distribution<double>(mu, kSigma)(mRandom);
  } else {
    micros = std::exponential_distribution<double>(1.0 / mMeanMicros)(mRandom);
  }
  return core::Duration(static_cast<std::int64_t>(micros * 1000.0));
}

bool
ServiceTime::Chance(double aProbability)
{
  if (aProbability <= 0.0) {
    return false;
  }
  const std::lock_guard lock(mMutex);
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom) <
         aProbability;
}

} // namespace nutmegrock::standin_backend
