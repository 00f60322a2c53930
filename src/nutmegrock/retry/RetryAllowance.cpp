#include "retry/RetryAllowance.h"

#include <algorithm>

namespace nutmegrock::retry {

RetryAllowance::RetryAllowance(RetryAllowanceSettings aSettings)
  : mSettings(aSettings)
{
}

void
RetryAllowance::SetSettings(const RetryAllowanceSettings& aSettings)
{
  if (aSettings.mWindow != mSettings.mWindow) {
    mServices.clear();
  }
  mSettings = aSettings;
}

std::int64_t
RetryAllowance::BucketNumberOf(core::TimePoint aNow) const
{
  return aNow.time_since_epoch() /
         (mSettings.mWindow / static_cast<std::int64_t>(kBuckets));
}

RetryAllowance::Bucket&
RetryAllowance::BucketOf(core::TimePoint aNow, std::string_view aService)
{
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    found = mServices.emplace(aService, Window{}).first;
  }
  const std::int64_t number = BucketNumberOf(aNow);
  Bucket& bucket =
    found->second.at(static_cast<std::size_t>(number) % kBuckets);
  if (bucket.mNumber != number) {
    bucket = { number, 0, 0, 0 };
  }
  return bucket;
}

void
RetryAllowance::OnRequest(core::TimePoint aNow,
                          std::string_view aService,
                          double aRetryShare)
{
  Bucket& bucket = BucketOf(aNow, aService);
  ++bucket.mRequests;
  bucket.mInherited += aRetryShare;
}

double
RetryAllowance::Remaining(core::TimePoint aNow, std::string_view aService) const
{
  double requests = 0;
  double taken = 0;
  double inherited = 0;
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    const std::int64_t number = BucketNumberOf(aNow);
    for (const Bucket& bucket : found->second) {
      if (bucket.mNumber > number - static_cast<std::int64_t>(kBuckets)) {
        requests += bucket.mRequests;
        taken += bucket.mTaken;
        inherited += bucket.mInherited;
      }
    }
  }
  const double extra = mSettings.mExtraRetries /
                       static_cast<double>(std::max<std::size_t>(1, mNodes));
  const double bound = requests * mSettings.mRatio;
  const double own =
    std::clamp(bound - inherited, 0.0, bound * mSettings.mHopShare);
  return own + extra - taken;
}

bool
RetryAllowance::Take(core::TimePoint aNow, std::string_view aService)
{
  if (Remaining(aNow, aService) < 1) {
    return false;
  }
  ++BucketOf(aNow, aService).mTaken;
  return true;
}

} // namespace nutmegrock::retry
