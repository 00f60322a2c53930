#include "overload/RankCutoff.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace nutmegrock::overload {

namespace {

double
SumOf(const auto& aCounts)
{
  return std::accumulate(aCounts.begin(), aCounts.end(), 0.0);
}

} // namespace

RankCutoff::RankCutoff(RankCutoffSettings aSettings)
  : mSettings(aSettings)
  , mRise(aSettings.mRise)
{
}

std::size_t
RankCutoff::BucketOf(double aRank)
{
  const auto bucket = static_cast<std::size_t>(
    std::clamp(aRank, 0.0, kOpenRank) * static_cast<double>(kStepsPerPriority));
  return std::min(bucket, kBuckets - 1);
}

void
RankCutoff::OnStarted(double aRank)
{
  mStarted.at(BucketOf(aRank)) += 1;
  mNewStarted += 1;
}

void
RankCutoff::OnExpired(double aRank)
{
  mExpired.at(BucketOf(aRank)) += 1;
  mNewExpired += 1;
}

double
RankCutoff::Rate() const
{
  return (SumOf(mStarted) + SumOf(mExpired)) /
         std::chrono::duration<double>(mSettings.mSmoothing).count();
}

// As many calls fit as were started. In the order of rank they are the lowest
// ones; otherwise the lowest ones could have been started instead.
double
RankCutoff::RankThatFits() const
{
  const double started = SumOf(mStarted);
  double left = started + mSettings.mNoise * (started + SumOf(mExpired));
  for (std::size_t i = 0; i < kBuckets; ++i) {
    const double calls = mStarted.at(i) + mExpired.at(i);
    if (calls > left) {
      return (static_cast<double>(i) + left / calls) /
             static_cast<double>(kStepsPerPriority);
    }
    left -= calls;
  }
  return kOpenRank;
}

double
RankCutoff::HighestRank() const
{
  for (std::size_t i = kBuckets; i > 0; --i) {
    if (mStarted.at(i - 1) + mExpired.at(i - 1) >= 1) {
      return static_cast<double>(i) / static_cast<double>(kStepsPerPriority);
    }
  }
  return kOpenRank;
}

void
RankCutoff::Update(core::TimePoint aNow, bool aWaiting)
{
  if (mNewExpired > mSettings.mMinExpiredShare * (mNewExpired + mNewStarted)) {
    const double fits = RankThatFits();
    const double from = std::min(mCutoff, HighestRank());
    mCutoff = fits < from ? from + mSettings.mFollow * (fits - from)
                          : std::min(fits, from + mSettings.mRise);
    mRise = mSettings.mRise;
  } else {
    mCutoff = std::min(kOpenRank, mCutoff + mRise);
    mRise = aWaiting
              ? mSettings.mRise
              : std::min(mSettings.mMaxRise, mRise * mSettings.mAcceleration);
  }
  const double keep =
    mUpdatedAt == core::TimePoint{}
      ? 1
      : std::exp(-std::chrono::duration<double>(aNow - mUpdatedAt) /
                 mSettings.mSmoothing);
  mUpdatedAt = aNow;
  mNewStarted = 0;
  mNewExpired = 0;
  for (Counts* counts : { &mStarted, &mExpired }) {
    for (double& count : *counts) {
      count *= keep;
    }
  }
}

} // namespace nutmegrock::overload
