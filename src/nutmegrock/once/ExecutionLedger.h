#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "once/Dispatch.h"
#include "once/ExecutionRecord.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace nutmegrock::once {

struct ExecutionLedgerSettings
{
  /// How long a key is remembered after its first use. Must be at least the
  /// owner's retention, so that the owner can settle every key it remembers.
  core::Duration mRetention = std::chrono::minutes{ 20 };
  /// Maximum number of keys remembered over all shards.
  std::size_t mMaxKeys = 65'536;

  bool operator==(const ExecutionLedgerSettings&) const = default;
};

/// Response of an executor to a settle request.
struct SettleResponse
{
  SettleState mState = SettleState::Unknown;
  std::shared_ptr<const Outcome> mOutcome;
};

/// Keys received by this node as an executor. Forgetting a key raises its
/// owner's floor to the key's sequence; a dispatch at or below the floor
/// without a record is refused, so that a delayed dispatch of a forgotten key
/// does not run. Thread-safe; sharded by sequence, with one lock per shard.
class ExecutionLedger
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<ExecutionLedger>> Create(
    const ExecutionLedgerSettings& aSettings);

  /// Records the arrival of a dispatch. Returns true if it may run; false
  /// guarantees that this message has not run the call.
  bool TryStart(core::TimePoint aNow, const Dispatch& aDispatch);
  void OnNotRun(const Dispatch& aDispatch);
  void OnDone(const Dispatch& aDispatch,
              std::shared_ptr<const Outcome> aOutcome);
  void OnUnknown(const Dispatch& aDispatch);
  /// Handles a settle request of the owner. An unseen key will never run here
  /// afterwards.
  SettleResponse Settle(core::TimePoint aNow, const Dispatch& aDispatch);

  std::size_t Size() const;

private:
  struct Entry
  {
    ExecutionRecord mRecord;
    core::TimePoint mFirstUse;
  };
  struct Shard
  {
    mutable std::mutex mMutex;
    std::map<Dispatch, Entry> mEntries;
    std::deque<Dispatch> mOrder;
    /// Highest forgotten sequence by owner.
    std::unordered_map<std::uint64_t, std::uint64_t> mFloors;
  };
  static constexpr std::size_t kShards = 16;

  explicit ExecutionLedger(const ExecutionLedgerSettings& aSettings);
  Shard& ShardOf(const Dispatch& aDispatch);
  void Forget(Shard& aShard, core::TimePoint aNow) const;
  /// Returns the entry of the key, creating it if the key is above the floor;
  /// null otherwise.
  Entry* FindOrMake(Shard& aShard,
                    core::TimePoint aNow,
                    const Dispatch& aDispatch);
  template<class Function>
  void WithRecord(const Dispatch& aDispatch, Function aFunction);

  const ExecutionLedgerSettings mSettings;
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::once
