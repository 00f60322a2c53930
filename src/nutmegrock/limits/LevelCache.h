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
  /// Age at which an entry no longer refuses calls.
  core::Duration mLifetime = std::chrono::seconds{ 1 };
  /// Entries over all shards.
  std::size_t mMaxEntries = 8192;
  std::size_t mShards = 16;
  /// One in this many refused calls of an entry is let through as a probe.
  std::uint32_t mProbeEvery = 64;
  /// Shortest time between two probes of an entry.
  core::Duration mProbeInterval = std::chrono::milliseconds{ 10 };

  bool operator==(const LevelCacheSettings&) const = default;
};

/// Remembers at an entry node the admission levels of services and of the
/// services below them, per (entry service, profile), so that doomed requests
/// are refused before they cost a hop. Safe from any thread; each shard has its
/// own lock. Check() does not allocate.
class LevelCache
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<LevelCache>> Create(
    const LevelCacheSettings& aSettings);

  /// Takes in what a serving node reported with an answer or refusal.
  void Learn(core::TimePoint aNow,
             std::string_view aService,
             std::string_view aProfile,
             const core::CallFeedback& aFeedback);

  /// LevelTooLow or LevelTooLowDownstream when the request would be refused,
  /// nothing when it should be sent.
  std::optional<core::ErrorKind> Check(core::TimePoint aNow,
                                       std::string_view aService,
                                       std::string_view aProfile,
                                       core::Importance aImportance,
                                       core::Cohort aCohort);

  /// Entries held now, expired ones included.
  std::size_t Size() const;

private:
  /// Recent reports of an entry, which usually come from different servers.
  static constexpr std::size_t kReports = 8;

  struct Report
  {
    core::TimePoint mAt;
    core::Level mLevel;
    core::Level mBelow;
  };
  struct Entry
  {
    std::array<Report, kReports> mReports;
    std::size_t mCount = 0;
    std::size_t mNext = 0;
    /// Newest report.
    core::TimePoint mLast;
    core::Level mLevel;
    core::Level mBelow;
    /// Refusals since the last probe.
    std::uint32_t mRefused = 0;
    core::TimePoint mLastProbe;
  };
  struct Shard
  {
    mutable std::mutex mMutex;
    /// By 64-bit hash of service and profile. Two pairs of equal hash would
    /// share a level; at 8192 entries that is a chance of 2e-12.
    std::unordered_map<std::uint64_t, Entry> mEntries;
  };

  explicit LevelCache(const LevelCacheSettings& aSettings);
  static std::uint64_t KeyOf(std::string_view aService,
                             std::string_view aProfile);
  Shard& ShardOf(std::uint64_t aKey) const;
  void MakeRoom(Shard& aShard) const;
  static void Summarize(Entry& aEntry);

  LevelCacheSettings mSettings;
  std::vector<std::unique_ptr<Shard>> mShards;
};

} // namespace nutmegrock::limits
