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
  /// Maximum tokens per target service.
  double mMaxTokens = 50;
  /// Time constant of the decay of tokens above one, so that an outage after a
  /// long healthy period does not begin with a burst of retries.
  core::Duration mTokenDecayTime = std::chrono::seconds{ 1 };

  bool operator==(const RetryRatioSettings&) const = default;
};

/// Token bucket per target service that bounds retries to a share of first
/// attempts. Only successful first attempts fill it: if a service fails
/// completely, retries stop after the few saved tokens. Thread-safe.
class RetryRatio
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<RetryRatio>> Create(
    const RetryRatioSettings& aSettings);

  /// A first attempt at the service succeeded.
  void OnSuccess(core::TimePoint aNow, std::string_view aService);
  /// Takes one token for a retry; false if none is available.
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
