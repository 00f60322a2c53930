#include "node/ActiveCalls.h"

#include "core/Hash.h"

#include <algorithm>

namespace nutmegrock::node {

const ActiveCalls::Shard&
ActiveCalls::ShardOf(const std::string& aToken) const
{
  return mShards.at(core::HashOf(aToken) % kShards);
}

ActiveCalls::Shard&
ActiveCalls::ShardOf(const std::string& aToken)
{
  return mShards.at(core::HashOf(aToken) % kShards);
}

void
ActiveCalls::Add(const std::shared_ptr<ActiveCall>& aCall)
{
  Shard& shard = ShardOf(aCall->Token());
  const std::lock_guard lock(shard.mMutex);
  shard.mCalls.emplace(aCall->Token(), aCall);
}

std::shared_ptr<ActiveCall>
ActiveCalls::Find(const std::string& aToken) const
{
  const Shard& shard = ShardOf(aToken);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mCalls.find(aToken);
  return found == shard.mCalls.end() ? nullptr : found->second;
}

void
ActiveCalls::Remove(const std::string& aToken)
{
  Shard& shard = ShardOf(aToken);
  const std::lock_guard lock(shard.mMutex);
  shard.mCalls.erase(aToken);
}

core::TimePoint
ActiveCalls::LatestDeadline(core::TimePoint aNow) const
{
  core::TimePoint latest = aNow;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    for (const auto& [token, call] : shard.mCalls) {
      latest = std::max(latest, call->Context().mDeadline);
    }
  }
  return latest;
}

std::size_t
ActiveCalls::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    size += shard.mCalls.size();
  }
  return size;
}

} // namespace nutmegrock::node
