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
  /// How long attempts of one customer request are counted together.
  core::Duration mWindow = std::chrono::seconds{ 30 };
  /// Customer requests remembered over all shards; the oldest is forgotten.
  std::size_t mMaxEntries = 65'536;

  bool operator==(const ResendTrackerSettings&) const = default;
};

/// Counts at an entry node the attempts of each customer request over all the
/// times its caller sends it, so that a caller that retries hard spends the one
/// budget of its request instead of getting a new one each time. Safe from any
/// thread; shards each under their own lock.
class ResendTracker
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<ResendTracker>> Create(
    const ResendTrackerSettings& aSettings);

  /// Counts one arrival of the request. Returns the further attempts it may
  /// use: aBudget for the first arrival, what is left for later ones. Fails
  /// with RetryBudgetSpent, with the time until the window ends, when the
  /// arrival itself exceeds the budget.
  core::Expected<std::uint32_t> OnArrival(core::TimePoint aNow,
                                          const core::RequestId& aRequest,
                                          std::uint32_t aBudget);
  /// The arrival ended and left aUnused of what OnArrival() returned.
  void OnEnd(const core::RequestId& aRequest, std::uint32_t aUnused);
  /// The arrival was refused before any attempt, so it does not count.
  void OnRefused(const core::RequestId& aRequest, std::uint32_t aUnused);

  std::size_t Size() const;

private:
  struct Entry
  {
    core::TimePoint mFirst;
    std::uint32_t mLeft = 0;
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
  void Forget(Shard& aShard, core::TimePoint aNow) const;

  ResendTrackerSettings mSettings;
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::retry
