#pragma once

#include "core/Error.h"
#include "core/RequestId.h"
#include "core/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace nutmegrock::retry {

struct ResendTrackerSettings
{
  /// Time over which the arrivals of one customer request are counted together.
  core::Duration mWindow = std::chrono::seconds{ 30 };
  /// Maximum number of tracked customer requests over all shards; the oldest is
  /// evicted.
  std::size_t mMaxEntries = 65'536;

  bool operator==(const ResendTrackerSettings&) const = default;
};

/// Counts at an entry node the attempts of each customer request over all
/// resends by its caller, so that a caller that retries aggressively spends the
/// one retry budget of its request instead of getting a new one each time.
/// Thread-safe; each shard has its own lock.
class ResendTracker
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<ResendTracker>> Create(
    const ResendTrackerSettings& aSettings);

  /// Counts one arrival of the request. Returns the retries it may use: aBudget
  /// for the first arrival, the remaining ones for later arrivals. Fails with
  /// RetryBudgetSpent, with the time until the window ends, if the arrival
  /// itself exceeds the budget.
  core::Expected<std::uint32_t> OnArrival(core::TimePoint aNow,
                                          const core::RequestId& aRequest,
                                          std::uint32_t aBudget);
  /// The arrival ended with aUnused retries remaining of those that OnArrival()
  /// returned.
  void OnEnd(const core::RequestId& aRequest, std::uint32_t aUnused);
  /// The arrival was refused before any attempt and is not counted.
  void OnRefused(const core::RequestId& aRequest, std::uint32_t aUnused);

  std::size_t Size() const;

private:
  struct Entry
  {
    core::TimePoint mFirstArrival;
    std::uint32_t mRemaining = 0;
    bool mStarted = false;
  };
  struct Shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<std::uint64_t, Entry> mEntries;
    std::deque<std::pair<core::TimePoint, std::uint64_t>> mOrder;
  };
  static constexpr std::size_t kShards = 16;

  explicit ResendTracker(const ResendTrackerSettings& aSettings);
  void EvictExpired(Shard& aShard, core::TimePoint aNow) const;

  ResendTrackerSettings mSettings;
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::retry
