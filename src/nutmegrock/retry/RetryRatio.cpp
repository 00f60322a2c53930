#include "retry/RetryRatio.h"

#include "core/Hash.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::retry {

RetryRatio::RetryRatio(const RetryRatioSettings& aSettings)
  : mSettings(aSettings)
{
}

core::Expected<std::unique_ptr<RetryRatio>>
RetryRatio::Create(const RetryRatioSettings& aSettings)
{
  if (aSettings.mRatio < 0 || aSettings.mRatio > 1 ||
      aSettings.mMaxTokens < 1 ||
      aSettings.mTokenDecayTime <= core::Duration{ 0 }) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "retry ratio: ratio must be in [0, 1], max tokens at "
                      "least 1 and token decay time positive");
  }
  return std::unique_ptr<RetryRatio>(new RetryRatio(aSettings));
}

void
RetryRatio::Decay(Bucket& aBucket, core::TimePoint aNow) const
{
  using Seconds = std::chrono::duration<double>;
  // One token does not decay, otherwise services with few calls would never
  // have one.
  const double above = aBucket.mTokens - 1;
  if (above > 0 && aNow > aBucket.mAt) {
    const double time = Seconds(aNow - aBucket.mAt) / mSettings.mTokenDecayTime;
    aBucket.mTokens = 1 + above * std::exp(-time);
  }
  aBucket.mAt = std::max(aBucket.mAt, aNow);
}

void
RetryRatio::OnSuccess(core::TimePoint aNow, std::string_view aService)
{
  const std::uint64_t key = core::HashOf(aService);
  Shard& shard = mShards.at(key % kShards);
  const std::lock_guard lock(shard.mMutex);
  Bucket& bucket = shard.mBuckets[key];
  Decay(bucket, aNow);
  bucket.mTokens =
    std::min(bucket.mTokens + mSettings.mRatio, mSettings.mMaxTokens);
}

bool
RetryRatio::TryTake(core::TimePoint aNow, std::string_view aService)
{
  const std::uint64_t key = core::HashOf(aService);
  Shard& shard = mShards.at(key % kShards);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mBuckets.find(key);
  if (found == shard.mBuckets.end()) {
    return false;
  }
  Decay(found->second, aNow);
  // Ten additions of 0.1 sum up to slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (found->second.mTokens < 1 - kRounding) {
    return false;
  }
  found->second.mTokens = std::max(0.0, found->second.mTokens - 1);
  return true;
}

} // namespace nutmegrock::retry
