#pragma once

#include "node/ActiveCall.h"

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace nutmegrock::node {

/// Calls in flight at the local backend server, by token. Sharded, with one
/// lock for each shard. Safe from any thread.
class ActiveCalls
{
public:
  void Add(const std::shared_ptr<ActiveCall>& aCall);
  /// Returns the call with this token, or null.
  std::shared_ptr<ActiveCall> Find(const std::string& aToken) const;
  void Remove(const std::string& aToken);
  /// Returns the latest deadline of all calls, or aNow if there are none.
  core::TimePoint LatestDeadline(core::TimePoint aNow) const;
  std::size_t Size() const;

private:
  struct Shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<std::string, std::shared_ptr<ActiveCall>> mCalls;
  };
  static constexpr std::size_t kShards = 16;

  const Shard& ShardOf(const std::string& aToken) const;
  Shard& ShardOf(const std::string& aToken);

  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::node
