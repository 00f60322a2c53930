#include "retry/RetryShare.h"

#include <cmath>

namespace nutmegrock::retry {

namespace {

/// Time constant of the decay of old runs. A run makes its calls in less time.
constexpr std::chrono::seconds kDecayTime{ 2 };

} // namespace

void
RetryShare::OnRun(core::TimePoint aNow, double aProbability)
{
  const double keep =
    std::exp(-std::chrono::duration<double>(aNow - mDecayedAt).count() /
             std::chrono::duration<double>(kDecayTime).count());
  mRuns = mRuns * keep + 1;
  mRetries = mRetries * keep + aProbability;
  mDecayedAt = aNow;
}

double
RetryShare::Share() const
{
  return mRuns > 0 ? mRetries / mRuns : 0;
}

} // namespace nutmegrock::retry
