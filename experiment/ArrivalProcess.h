#pragma once

#include "core/Time.h"

#include <cstdint>
#include <random>

namespace nutmegrock::experiment {

/// Open-loop Poisson arrival process: arrivals do not depend on the outcome of
/// earlier requests. Deterministic for a given seed.
class ArrivalProcess
{
public:
  ArrivalProcess(std::uint64_t aSeed, core::TimePoint aStart);

  /// Sets the rate in arrivals/s from aNow on; zero stops the arrivals.
  void SetRate(double aRate, core::TimePoint aNow);
  /// Time of the next arrival; TimePoint::max() if the rate is zero.
  core::TimePoint Next() const { return mNext; }
  /// Advances to the arrival after Next().
  void Advance();

private:
  core::Duration InterarrivalTime();

  std::mt19937_64 mRandom;
  double mRate = 0.0;
  core::TimePoint mLast;
  core::TimePoint mNext = core::TimePoint::max();
};

} // namespace nutmegrock::experiment
