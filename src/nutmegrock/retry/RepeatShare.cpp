#include "retry/RepeatShare.h"

#include <cmath>

namespace nutmegrock::retry {

namespace {

/// Runs are forgotten with this time constant. A run makes its calls within
/// less than it.
constexpr std::chrono::seconds kMemory{ 2 };

} // namespace

void
RepeatShare::OnRun(core::TimePoint aNow, double aProbability)
{
  const double keep =
    std::exp(-std::chrono::duration<double>(aNow - mFadedAt).count() /
             std::chrono::duration<double>(kMemory).count());
  mRuns = mRuns * keep + 1;
  mRepeats = mRepeats * keep + aProbability;
  mFadedAt = aNow;
}

double
RepeatShare::Share() const
{
  return mRuns > 0 ? mRepeats / mRuns : 0;
}

} // namespace nutmegrock::retry
