#include "retry/RetryShare.h"

#include <cmath>

namespace nutmegrock::retry {

namespace {

/// Runs are forgotten with this time constant. A run makes its calls within
/// less than it.
constexpr std::chrono::seconds kMemory{ 2 };

} // namespace

void
RetryShare::OnRun(core::TimePoint aNow, double aProbability)
{
  const double keep =
    std::exp(-std::chrono::duration<double>(aNow - mDecayedAt).count() /
             std::chrono::duration<double>(kMemory).count());
  mRuns = mRuns * keep + 1;
  mRepeats = mRepeats * keep + aProbability;
  mDecayedAt = aNow;
}

double
RetryShare::Share() const
{
  return mRuns > 0 ? mRepeats / mRuns : 0;
}

} // namespace nutmegrock::retry
