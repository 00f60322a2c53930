#pragma once

#include "core/Time.h"
#include "standins/standin_backend/Settings.h"

#include <mutex>
#include <random>

namespace nutmegrock::standin_backend {

/// Seeded random generator of service times. Safe from any thread.
class ServiceTime
{
public:
  ServiceTime(std::chrono::microseconds aMean,
              Distribution aDistribution,
              std::uint64_t aSeed);

  /// Returns the duration of one run; zero if the mean is zero.
  core::Duration Sample();
  /// Returns true with the given probability.
  bool Chance(double aProbability);

private:
  const double mMeanMicros;
  const Distribution mDistribution;
  std::mutex mMutex;
  std::mt19937_64 mRandom;
};

} // namespace nutmegrock::standin_backend
