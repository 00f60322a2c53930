#pragma once

#include "core/Time.h"

#include <cstdint>
#include <random>

namespace nutmegrock::experiment {

/// Poisson arrivals of an open loop: the next arrival does not depend on how
/// earlier requests fared. The same seed gives the same arrivals.
class ArrivalProcess
{
public:
  ArrivalProcess(std::uint64_t aSeed, core::TimePoint aStart);

  /// Changes the rate in arrivals/s from aNow on; zero stops the arrivals.
  void SetRate(double aRate, core::TimePoint aNow);
  /// Time of the next arrival; TimePoint::max() if the rate is zero.
  core::TimePoint Next() const { return mNext; }
  /// Moves on to the arrival after Next().
  void Advance();

private:
  core::Duration Gap();

  std::mt19937_64 mRandom;
  double mRate = 0.0;
  core::TimePoint mLast;
  core::TimePoint mNext = core::TimePoint::max();
};

} // namespace nutmegrock::experiment
