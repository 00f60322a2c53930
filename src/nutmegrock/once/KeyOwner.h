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
  /// Own peer address, written into keys.
  core::Address mAddress;
  std::string mSecret;
  /// How long the outcome of a key is kept after its last use.
  core::Duration mRetention = std::chrono::minutes{ 15 };
  /// Keys remembered at a time over all shards. At the full size a node gets 50
  /// calls/s; if one in ten is non-idempotent, 15 minutes are 4,500 keys.
  std::size_t mMaxKeys = 32'768;

  bool operator==(const KeyOwnerSettings&) const = default;
};

/// What the owner does with a call that brings a key.
enum class BeginAction : std::uint8_t
{
  /// Dispatch it.
  Dispatch,
  /// Ask the executor of the earlier dispatch first.
  Settle,
  /// Answer with the known outcome.
  OutcomeKnown,
  /// The same key is being worked on; its outcome will be known later.
  Busy,
  /// It may have run and nothing more will be known.
  Unknown,
  /// The key was used for another call.
  Reused,
  /// No room for further keys.
  Full
};

struct BeginResult
{
  BeginAction mAction = BeginAction::Unknown;
  /// With OutcomeKnown.
  std::shared_ptr<const Outcome> mOutcome;
  /// With Settle.
  std::uint32_t mNumber = 0;
  core::Incarnation mExecutor;
  core::Address mExecutorAddress;
};

/// Issues the keys of one node run and arbitrates their dispatch. Keys are
/// remembered for a retention time; below a floor, which is the highest
/// forgotten sequence of the shard, a key without a record is Unknown, so a
/// forgotten key is never dispatched again. Safe from any thread; shards by
/// sequence, each under its own lock.
class KeyOwner
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<KeyOwner>> Create(
    const KeyOwnerSettings& aSettings);

  /// A new key.
  IdempotencyKey Issue();
  std::string TextOf(const IdempotencyKey& aKey) const;
  std::string TextOf(const Dispatch& aDispatch) const;
  /// Reads a key of any owner. Fails with KeyInvalid.
  core::Expected<IdempotencyKey> Parse(std::string_view aText) const;
  bool IsOwn(const IdempotencyKey& aKey) const
  {
    return aKey.mOwner == mSettings.mSelf;
  }

  /// A call brings an own key; aDigest stands for what the call asks for. After
  /// Dispatch or Settle the key is busy until End().
  BeginResult Begin(core::TimePoint aNow,
                    const IdempotencyKey& aKey,
                    std::uint64_t aDigest);
  /// The call is about to be sent. Returns the number of the dispatch, or 0 if
  /// it must not be sent.
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
  /// The call that Begin() let through has ended.
  void End(core::TimePoint aNow, const IdempotencyKey& aKey);

  /// Keys with a record.
  std::size_t Size() const;

private:
  struct Entry
  {
    OwnerRecord mRecord;
    std::uint64_t mDigest = 0;
    bool mBusy = false;
    core::TimePoint mUsed;
  };
  struct Shard
  {
    mutable std::mutex mMutex;
    std::unordered_map<std::uint64_t, Entry> mEntries;
    /// Sequences in the order of their first use.
    std::deque<std::uint64_t> mOrder;
    std::uint64_t mFloor = 0;
  };
  static constexpr std::size_t kShards = 16;

  explicit KeyOwner(const KeyOwnerSettings& aSettings);
  Shard& ShardOf(const IdempotencyKey& aKey);
  void Forget(Shard& aShard, core::TimePoint aNow) const;
  bool IsFull(const Shard& aShard) const;
  BeginResult Judge(Entry& aEntry) const;
  template<class Function>
  void WithRecord(const IdempotencyKey& aKey, Function aFunction);

  const KeyOwnerSettings mSettings;
  std::atomic<std::uint64_t> mNextSequence{ 1 };
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::once
