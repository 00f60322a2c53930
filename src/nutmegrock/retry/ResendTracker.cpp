#include "retry/ResendTracker.h"

#include <algorithm>

namespace nutmegrock::retry {

core::Expected<std::unique_ptr<ResendTracker>>
ResendTracker::Create(const ResendTrackerSettings& aSettings)
{
  if (aSettings.mWindow <= core::Duration::zero() ||
      aSettings.mMaxEntries < kShards) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "resend tracker: the window must be positive, with at "
                      "least one entry per shard");
  }
  return std::unique_ptr<ResendTracker>(new ResendTracker(aSettings));
}

ResendTracker::ResendTracker(const ResendTrackerSettings& aSettings)
  : mSettings(aSettings)
{
}

void
ResendTracker::EvictExpired(Shard& aShard, core::TimePoint aNow) const
{
  const std::size_t maxEntries = mSettings.mMaxEntries / kShards;
  while (!aShard.mOrder.empty() &&
         (aShard.mOrder.front().first + mSettings.mWindow <= aNow ||
          aShard.mEntries.size() >= maxEntries)) {
    aShard.mEntries.erase(aShard.mOrder.front().second);
    aShard.mOrder.pop_front();
  }
}

core::Expected<std::uint32_t>
ResendTracker::OnArrival(core::TimePoint aNow,
                         const core::RequestId& aRequest,
                         std::uint32_t aBudget)
{
  Shard& shard = mShards.at(aRequest.Hash() % kShards);
  const std::lock_guard lock(shard.mMutex);
  auto found = shard.mEntries.find(aRequest.Hash());
  if (found != shard.mEntries.end() &&
      found->second.mFirstArrival + mSettings.mWindow > aNow) {
    Entry& entry = found->second;
    const std::uint32_t cost = entry.mStarted ? 1 : 0;
    if (entry.mRemaining < cost) {
      core::Error error = core::MakeError(
        core::ErrorKind::RetryBudgetSpent,
        "the request has used its retries; it may be sent again later");
      error.mRetryAfter = std::chrono::ceil<std::chrono::milliseconds>(
        entry.mFirstArrival + mSettings.mWindow - aNow);
      return tl::make_unexpected(std::move(error));
    }
    entry.mStarted = true;
    const std::uint32_t remaining = entry.mRemaining - cost;
    entry.mRemaining = 0;
    return remaining;
  }
  EvictExpired(shard, aNow);
  shard.mEntries[aRequest.Hash()] = Entry{ aNow, 0, true };
  shard.mOrder.emplace_back(aNow, aRequest.Hash());
  return aBudget;
}

void
ResendTracker::OnEnd(const core::RequestId& aRequest, std::uint32_t aUnused)
{
  Shard& shard = mShards.at(aRequest.Hash() % kShards);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aRequest.Hash());
  if (found != shard.mEntries.end()) {
    found->second.mRemaining += aUnused;
  }
}

void
ResendTracker::OnRefused(const core::RequestId& aRequest, std::uint32_t aUnused)
{
  Shard& shard = mShards.at(aRequest.Hash() % kShards);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aRequest.Hash());
  if (found != shard.mEntries.end()) {
    found->second.mRemaining += aUnused;
    found->second.mStarted = false;
  }
}

std::size_t
ResendTracker::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    size += shard.mEntries.size();
  }
  return size;
}

} // namespace nutmegrock::retry
