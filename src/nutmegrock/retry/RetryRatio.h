#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

namespace nutmegrock::retry {

struct RetryRatioSettings
{
  /// Retries per successful first attempt.
  double mRatio = 0.1;
  /// Most retries saved up per target service.
  double mMaxSaved = 50;
  /// Savings above one retry decay with this time constant, so that an outage
  /// after a long healthy time does not begin with a burst of retries.
  core::Duration mSavedFor = std::chrono::seconds{ 1 };

  bool operator==(const RetryRatioSettings&) const = default;
};

/// Token bucket per target service that bounds retries to a share of first
/// attempts. Only successful first attempts fill it: when a service fails
/// completely, retries stop after the few saved up. Safe from any thread.
class RetryRatio
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<RetryRatio>> Create(
    const RetryRatioSettings& aSettings);

  /// A first attempt at the service succeeded.
  void OnSuccess(core::TimePoint aNow, std::string_view aService);
  /// Takes one retry; false when none is available.
  bool TryTake(core::TimePoint aNow, std::string_view aService);

private:
  struct Bucket
  {
    double mTokens = 0;
    core::TimePoint mAt;
  };
  struct Shard
  {
    std::mutex mMutex;
    std::unordered_map<std::uint64_t, Bucket> mBuckets;
  };
  static constexpr std::size_t kShards = 16;

  explicit RetryRatio(const RetryRatioSettings& aSettings);
  void Decay(Bucket& aBucket, core::TimePoint aNow) const;

  RetryRatioSettings mSettings;
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::retry
