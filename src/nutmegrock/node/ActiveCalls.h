#pragma once

#include "node/ActiveCall.h"

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace nutmegrock::node {

/// The calls in flight at the backend server beside this node, by token, in
/// shards each under its own lock.
class ActiveCalls
{
public:
  void Add(const std::shared_ptr<ActiveCall>& aCall);
  /// The call of that token, or null.
  std::shared_ptr<ActiveCall> Find(const std::string& aToken) const;
  void Remove(const std::string& aToken);
  /// Latest deadline among all calls; aNow when there is none.
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
