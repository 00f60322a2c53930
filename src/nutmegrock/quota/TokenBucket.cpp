#include "quota/TokenBucket.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::quota {

namespace {

constexpr std::chrono::hours kMaxWait{ 1 };
/// Guards whole tokens against rounding errors.
constexpr double kRounding = 1e-9;

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

TokenBucket::TokenBucket(core::TimePoint aStart,
                         double aRatePerSecond,
                         double aCapacity)
  : mRate(aRatePerSecond)
  , mCapacity(aCapacity)
  , mFilledAt(aStart)
{
}

void
TokenBucket::SetLimits(core::TimePoint aNow,
                       double aRatePerSecond,
                       double aCapacity)
{
  Fill(aNow);
  mRate = aRatePerSecond;
  mCapacity = aCapacity;
  mTokens = std::min(mTokens, mCapacity);
}

double
TokenBucket::Level(core::TimePoint aNow) const
{
  return aNow <= mFilledAt
           ? mTokens
           : std::min(mCapacity, mTokens + mRate * Seconds(aNow - mFilledAt));
}

void
TokenBucket::Fill(core::TimePoint aNow)
{
  mTokens = Level(aNow);
  mFilledAt = std::max(mFilledAt, aNow);
}

std::uint32_t
TokenBucket::Take(core::TimePoint aNow, std::uint32_t aWanted, double aReserve)
{
  Fill(aNow);
  const double available = std::max(0.0, mTokens - aReserve + kRounding);
  const double taken = std::min<double>(aWanted, std::floor(available));
  mTokens = std::max(0.0, mTokens - taken);
  return static_cast<std::uint32_t>(taken);
}

bool
TokenBucket::TakeFraction(core::TimePoint aNow, double aRandom)
{
  Fill(aNow);
  const double part = std::min(1.0, mTokens);
  mTokens -= part;
  return aRandom < part;
}

core::Duration
TokenBucket::TimeUntil(core::TimePoint aNow, double aTokens) const
{
  const double missing = aTokens - Level(aNow);
  const core::Duration until_start =
    std::max(core::Duration(0), core::Duration(mFilledAt - aNow));
  if (missing <= 0) {
    return core::Duration(0);
  }
  const double seconds = mRate > 0 ? missing / mRate : Seconds(kMaxWait);
  return std::min<core::Duration>(
    kMaxWait,
    until_start +
      std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(std::min(seconds, Seconds(kMaxWait)))));
}

} // namespace nutmegrock::quota
