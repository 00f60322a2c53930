#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "core/Time.h"

#include <array>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::limits {

struct LevelCacheSettings
{
  /// Age at which an entry expires.
  core::Duration mLifetime = std::chrono::seconds{ 1 };
  /// Maximum number of entries over all shards.
  std::size_t mMaxEntries = 8192;
  std::size_t mShards = 16;
  /// One in this many refused calls of an entry is admitted as a probe.
  std::uint32_t mCallsPerProbe = 64;
  /// Minimum time between two probes of an entry.
  core::Duration mProbeInterval = std::chrono::milliseconds{ 10 };

  bool operator==(const LevelCacheSettings&) const = default;
};

/// Cache at an entry node of the admission levels of services and their
/// downstream services, per (entry service, profile), so that requests that
/// would be refused later are refused before they cost a hop. Thread-safe; each
/// shard has its own lock. Check() does not allocate.
class LevelCache
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<LevelCache>> Create(
    const LevelCacheSettings& aSettings);

  /// Adds the levels that a serving node reported with a response or refusal.
  void Learn(core::TimePoint aNow,
             std::string_view aService,
             std::string_view aProfile,
             const core::CallFeedback& aFeedback);

  /// LevelTooLow or LevelTooLowDownstream if the request would be refused,
  /// nullopt if it should be sent.
  std::optional<core::ErrorKind> Check(core::TimePoint aNow,
                                       std::string_view aService,
                                       std::string_view aProfile,
                                       core::Importance aImportance,
                                       core::Cohort aCohort);

  /// Number of entries, including expired ones.
  std::size_t Size() const;

private:
  /// Maximum number of recent reports per entry, which mostly come from
  /// different servers.
  static constexpr std::size_t kReports = 8;

  struct Report
  {
    core::TimePoint mAt;
    core::Level mLevel;
    core::Level mDownstreamLevel;
  };
  struct Entry
  {
    std::array<Report, kReports> mReports;
    std::size_t mCount = 0;
    std::size_t mNext = 0;
    /// Time of the newest report.
    core::TimePoint mLast;
    core::Level mLevel;
    core::Level mDownstreamLevel;
    /// Refusals since the last probe.
    std::uint32_t mRefused = 0;
    core::TimePoint mLastProbe;
  };
  struct Shard
  {
    mutable std::mutex mMutex;
    /// By 64-bit hash of service and profile. Two pairs of equal hash share a
    /// level; with 8192 entries the probability of that is 2e-12.
    std::unordered_map<std::uint64_t, Entry> mEntries;
  };

  explicit LevelCache(const LevelCacheSettings& aSettings);
  static std::uint64_t KeyOf(std::string_view aService,
                             std::string_view aProfile);
  Shard& ShardOf(std::uint64_t aKey) const;
  void EvictOldest(Shard& aShard) const;
  static void Summarize(Entry& aEntry);

  LevelCacheSettings mSettings;
  std::vector<std::unique_ptr<Shard>> mShards;
};

} // namespace nutmegrock::limits
