#include "limits/LevelCache.h"

#include "core/Hash.h"

#include <algorithm>

namespace nutmegrock::limits {

namespace {

/// Reports that are older than the newest one by more than this are ignored.
constexpr std::chrono::milliseconds kReportAge{ 250 };

} // namespace

LevelCache::LevelCache(const LevelCacheSettings& aSettings)
  : mSettings(aSettings)
{
  for (std::size_t i = 0; i < aSettings.mShards; ++i) {
    mShards.push_back(std::make_unique<Shard>());
  }
}

core::Expected<std::unique_ptr<LevelCache>>
LevelCache::Create(const LevelCacheSettings& aSettings)
{
  if (aSettings.mShards == 0 || aSettings.mMaxEntries < aSettings.mShards ||
      aSettings.mCallsPerProbe == 0 ||
      aSettings.mLifetime <= core::Duration{ 0 }) {
    return core::Fail(
      core::ErrorKind::InvalidSettings,
      "level cache: shards, calls per probe and lifetime must be "
      "positive, and there must be an entry per shard");
  }
  return std::unique_ptr<LevelCache>(new LevelCache(aSettings));
}

std::uint64_t
LevelCache::KeyOf(std::string_view aService, std::string_view aProfile)
{
  return core::HashOf(aProfile, core::HashOf(aService));
}

LevelCache::Shard&
LevelCache::ShardOf(std::uint64_t aKey) const
{
  return *mShards.at(aKey % mShards.size());
}

void
LevelCache::Learn(core::TimePoint aNow,
                  std::string_view aService,
                  std::string_view aProfile,
                  const core::CallFeedback& aFeedback)
{
  const std::uint64_t key = KeyOf(aService, aProfile);
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mMutex);
  auto found = shard.mEntries.find(key);
  if (found == shard.mEntries.end()) {
    if (aFeedback.mLevel == core::Level{} &&
        aFeedback.mDownstreamLevel == core::Level{}) {
      // Nothing to refuse; equivalent to an absent entry.
      return;
    }
    EvictOldest(shard);
    found = shard.mEntries.emplace(key, Entry{}).first;
  }
  Entry& entry = found->second;
  entry.mReports.at(
    entry.mNext) = { aNow, aFeedback.mLevel, aFeedback.mDownstreamLevel };
  entry.mNext = (entry.mNext + 1) % kReports;
  entry.mCount = std::min(entry.mCount + 1, kReports);
  entry.mLast = std::max(entry.mLast, aNow);
  Summarize(entry);
}

void
LevelCache::Summarize(Entry& aEntry)
{
  std::array<core::Level, kReports> downstream;
  std::size_t count = 0;
  aEntry.mLevel = { core::Importance::Critical, core::kCohorts - 1 };
  for (std::size_t i = 0; i < aEntry.mCount; ++i) {
    const Report& report = aEntry.mReports.at(i);
    if (report.mAt + kReportAge < aEntry.mLast) {
      continue;
    }
    aEntry.mLevel = std::min(aEntry.mLevel, report.mLevel);
    downstream.at(count++) = report.mDownstreamLevel;
  }
  // Another server of the service may admit what one refuses, so the lowest
  // level applies. Downstream, calls of one profile may take different paths,
  // so the median applies: a request is refused if most of the recent ones
  // would have been.
  const auto middle =
    downstream.begin() + static_cast<std::ptrdiff_t>((count - 1) / 2);
  std::nth_element(downstream.begin(),
                   middle,
                   downstream.begin() + static_cast<std::ptrdiff_t>(count));
  aEntry.mDownstreamLevel = *middle;
}

std::optional<core::ErrorKind>
LevelCache::Check(core::TimePoint aNow,
                  std::string_view aService,
                  std::string_view aProfile,
                  core::Importance aImportance,
                  core::Cohort aCohort)
{
  const std::uint64_t key = KeyOf(aService, aProfile);
  Shard& shard = ShardOf(key);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(key);
  if (found == shard.mEntries.end()) {
    return std::nullopt;
  }
  Entry& entry = found->second;
  if (aNow - entry.mLast >= mSettings.mLifetime) {
    shard.mEntries.erase(found);
    return std::nullopt;
  }
  std::optional<core::ErrorKind> refusal;
  if (!entry.mLevel.Admits(aImportance, aCohort)) {
    refusal = core::ErrorKind::LevelTooLow;
  } else if (!entry.mDownstreamLevel.Admits(aImportance, aCohort)) {
    refusal = core::ErrorKind::LevelTooLowDownstream;
  } else {
    return std::nullopt;
  }
  ++entry.mRefused;
  if (entry.mRefused >= mSettings.mCallsPerProbe &&
      aNow - entry.mLastProbe >= mSettings.mProbeInterval) {
    entry.mRefused = 0;
    entry.mLastProbe = aNow;
    return std::nullopt;
  }
  return refusal;
}

void
LevelCache::EvictOldest(Shard& aShard) const
{
  const std::size_t maxEntries = mSettings.mMaxEntries / mShards.size();
  if (aShard.mEntries.size() < maxEntries) {
    return;
  }
  const auto oldest =
    std::min_element(aShard.mEntries.begin(),
                     aShard.mEntries.end(),
                     [](const auto& aOne, const auto& aTwo) {
                       return aOne.second.mLast < aTwo.second.mLast;
                     });
  aShard.mEntries.erase(oldest);
}

std::size_t
LevelCache::Size() const
{
  std::size_t size = 0;
  for (const auto& shard : mShards) {
    const std::lock_guard lock(shard->mMutex);
    size += shard->mEntries.size();
  }
  return size;
}

} // namespace nutmegrock::limits
