#pragma once

#include "core/Time.h"
#include "standins/standin_backend/Settings.h"

#include <mutex>
#include <random>

namespace nutmegrock::standin_backend {

/// Seeded source of service times. Safe from any thread.
class ServiceTime
{
public:
  ServiceTime(std::chrono::microseconds aMean,
              Distribution aDistribution,
              std::uint64_t aSeed);

  /// Duration of one run; zero if the mean is zero.
  core::Duration Sample();
  /// True with the given probability.
  bool Chance(double aProbability);

private:
  const double mMeanMicros;
  const Distribution mDistribution;
  std::mutex mMutex;
  std::mt19937_64 mRandom;
};

} // namespace nutmegrock::standin_backend
