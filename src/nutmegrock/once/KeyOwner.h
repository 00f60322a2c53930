#pragma once

#include "core/Time.h"
#include "once/Dispatch.h"
#include "once/OwnerRecord.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace nutmegrock::once {

struct KeyOwnerSettings
{
  core::Incarnation mSelf;
  /// This node's peer address, included in keys.
  core::Address mAddress;
  std::string mSecret;
  /// How long the outcome of a key is kept after its last use.
  core::Duration mRetention = std::chrono::minutes{ 15 };
  /// Maximum number of keys remembered over all shards. A node of a full-size
  /// deployment receives 50 calls/s; if one in ten is non-idempotent, 15
  /// minutes are 4,500 keys.
  std::size_t mMaxKeys = 32'768;

  bool operator==(const KeyOwnerSettings&) const = default;
};

/// What the owner does with a call that carries a key.
enum class BeginAction : std::uint8_t
{
  /// Dispatch it.
  Dispatch,
  /// Send a settle request to the executor of the earlier dispatch first. It
  /// asks an executor whether it ran a dispatch, and prevents it from running
  /// later.
  Settle,
  /// Respond with the known outcome.
  OutcomeKnown,
  /// Another call with the key is in progress; its outcome will be known later.
  Busy,
  /// The call may have run, and its outcome will never be known.
  Unknown,
  /// The key was used for a different call.
  Reused,
  /// The maximum number of keys is reached.
  Full
};

struct BeginResult
{
  BeginAction mAction = BeginAction::Unknown;
  /// Set with OutcomeKnown.
  std::shared_ptr<const Outcome> mOutcome;
  /// This and the following are set with Settle.
  std::uint32_t mNumber = 0;
  core::Incarnation mExecutor;
  core::Address mExecutorAddress;
};

/// Issues the keys of one node incarnation and controls their dispatch. Keys
/// are remembered for a retention time. A key without a record at or below the
/// highest forgotten sequence of its shard is Unknown, so a forgotten key is
/// never dispatched again. Thread-safe; sharded by sequence, with one lock per
/// shard.
class KeyOwner
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<KeyOwner>> Create(
    const KeyOwnerSettings& aSettings);

  IdempotencyKey Issue();
  std::string TextOf(const IdempotencyKey& aKey) const;
  std::string TextOf(const Dispatch& aDispatch) const;
  /// Parses a key of any owner. Fails with KeyInvalid.
  core::Expected<IdempotencyKey> Parse(std::string_view aText) const;
  bool IsOwn(const IdempotencyKey& aKey) const
  {
    return aKey.mOwner == mSettings.mSelf;
  }

  /// Handles a call with a key of this owner; aDigest identifies the contents
  /// of the call. After Dispatch or Settle the key is busy until End().
  BeginResult Begin(core::TimePoint aNow,
                    const IdempotencyKey& aKey,
                    std::uint64_t aDigest);
  /// Call before sending. Returns the number of the dispatch, or 0 if the call
  /// must not be sent.
  std::uint32_t OnDispatch(const IdempotencyKey& aKey,
                           core::Incarnation aExecutor,
                           const core::Address& aAddress);
  void OnNotRun(const IdempotencyKey& aKey, core::Incarnation aExecutor);
  void OnOutcome(const IdempotencyKey& aKey,
                 core::Incarnation aExecutor,
                 std::shared_ptr<const Outcome> aOutcome);
  void OnSettled(const IdempotencyKey& aKey,
                 core::Incarnation aExecutor,
                 SettleState aState,
                 std::shared_ptr<const Outcome> aOutcome);
  void OnExecutorLost(const IdempotencyKey& aKey, core::Incarnation aExecutor);
  /// The call for which Begin() returned Dispatch or Settle has ended.
  void End(core::TimePoint aNow, const IdempotencyKey& aKey);

  /// Number of keys with a record.
  std::size_t Size() const;

private:
  struct Entry
  {
    OwnerRecord mRecord;
    std::uint64_t mDigest = 0;
    bool mBusy = false;
    core::TimePoint mLastUse;
  };
  struct Shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<std::uint64_t, Entry> mEntries;
    /// Sequences in order of first use.
    std::deque<std::uint64_t> mOrder;
    std::uint64_t mHighestForgotten = 0;
  };
  static constexpr std::size_t kShards = 16;

  explicit KeyOwner(const KeyOwnerSettings& aSettings);
  Shard& ShardOf(const IdempotencyKey& aKey);
  /// Removes expired keys, and the oldest ones while the shard is full.
  void Forget(Shard& aShard, core::TimePoint aNow) const;
  bool IsFull(const Shard& aShard) const;
  BeginResult DecideAction(Entry& aEntry) const;
  template<class Function>
  void WithRecord(const IdempotencyKey& aKey, Function aFunction);

  const KeyOwnerSettings mSettings;
  std::atomic<std::uint64_t> mNextSequence{ 1 };
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::once
