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
  /// owner's retention, so that the owner can settle as long as it remembers.
  core::Duration mRetention = std::chrono::minutes{ 20 };
  /// Keys remembered at a time over all shards.
  std::size_t mMaxKeys = 65'536;

  bool operator==(const ExecutionLedgerSettings&) const = default;
};

/// What a settled key's executor answers.
struct SettleResponse
{
  SettleState mState = SettleState::Unknown;
  std::shared_ptr<const Outcome> mOutcome;
};

/// The keys that came to this node as an executor. When a key is forgotten, the
/// floor of its owner rises to its sequence; a dispatch at or below the floor
/// without a record is refused, so a delayed dispatch of a forgotten key does
/// not run. Safe from any thread; shards by owner, each under its own lock.
class ExecutionLedger
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<ExecutionLedger>> Create(
    const ExecutionLedgerSettings& aSettings);

  /// A dispatch arrived; true if it may run. A refused dispatch was certainly
  /// not run by this message.
  bool TryStart(core::TimePoint aNow, const Dispatch& aDispatch);
  void OnNotRun(const Dispatch& aDispatch);
  void OnDone(const Dispatch& aDispatch,
              std::shared_ptr<const Outcome> aOutcome);
  void OnUnknown(const Dispatch& aDispatch);
  /// The owner asks; afterwards an unseen key never runs here.
  SettleResponse Settle(core::TimePoint aNow, const Dispatch& aDispatch);

  std::size_t Size() const;

private:
  struct Entry
  {
    ExecutionRecord mRecord;
    core::TimePoint mFirst;
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
  /// The entry of the key, made if it is above the floor; null otherwise.
  Entry* FindOrMake(Shard& aShard,
                    core::TimePoint aNow,
                    const Dispatch& aDispatch);
  template<class Function>
  void WithRecord(const Dispatch& aDispatch, Function aFunction);

  const ExecutionLedgerSettings mSettings;
  std::array<Shard, kShards> mShards;
};

} // namespace nutmegrock::once
