#include "once/ExecutionLedger.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::once {

core::Expected<std::unique_ptr<ExecutionLedger>>
ExecutionLedger::Create(const ExecutionLedgerSettings& aSettings)
{
  if (aSettings.mRetention <= core::Duration::zero() ||
      aSettings.mMaxKeys < kShards) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "execution ledger needs a positive retention and room "
                      "for one key per shard");
  }
  return std::unique_ptr<ExecutionLedger>(new ExecutionLedger(aSettings));
}

ExecutionLedger::ExecutionLedger(const ExecutionLedgerSettings& aSettings)
  : mSettings(aSettings)
{
}

ExecutionLedger::Shard&
ExecutionLedger::ShardOf(const Dispatch& aDispatch)
{
  return mShards.at(aDispatch.mKey.mSequence % kShards);
}

void
ExecutionLedger::Forget(Shard& aShard, core::TimePoint aNow) const
{
  while (!aShard.mOrder.empty()) {
    const Dispatch& dispatch = aShard.mOrder.front();
    const Entry& entry = aShard.mEntries.at(dispatch);
    const bool expired = entry.mFirstUse + mSettings.mRetention <= aNow;
    const bool full = aShard.mEntries.size() >= mSettings.mMaxKeys / kShards;
    if (entry.mRecord.State() == ExecutionState::Running ||
        (!expired && !full)) {
      return;
    }
    std::uint64_t& floor = aShard.mFloors[dispatch.mKey.mOwner.mBits];
    floor = std::max(floor, dispatch.mKey.mSequence);
    aShard.mEntries.erase(dispatch);
    aShard.mOrder.pop_front();
  }
}

ExecutionLedger::Entry*
ExecutionLedger::FindOrMake(Shard& aShard,
                            core::TimePoint aNow,
                            const Dispatch& aDispatch)
{
  const auto found = aShard.mEntries.find(aDispatch);
  if (found != aShard.mEntries.end()) {
    return &found->second;
  }
  Forget(aShard, aNow);
  const auto floor = aShard.mFloors.find(aDispatch.mKey.mOwner.mBits);
  const bool full = aShard.mEntries.size() >= mSettings.mMaxKeys / kShards;
  if (full || (floor != aShard.mFloors.end() &&
               aDispatch.mKey.mSequence <= floor->second)) {
    return nullptr;
  }
  aShard.mOrder.push_back(aDispatch);
  Entry& entry = aShard.mEntries[aDispatch];
  entry.mFirstUse = aNow;
  return &entry;
}

bool
ExecutionLedger::TryStart(core::TimePoint aNow, const Dispatch& aDispatch)
{
  Shard& shard = ShardOf(aDispatch);
  const std::lock_guard lock(shard.mMutex);
  Entry* entry = FindOrMake(shard, aNow, aDispatch);
  return entry != nullptr && entry->mRecord.TryStart();
}

template<class Function>
void
ExecutionLedger::WithRecord(const Dispatch& aDispatch, Function aFunction)
{
  Shard& shard = ShardOf(aDispatch);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aDispatch);
  if (found != shard.mEntries.end()) {
    aFunction(found->second.mRecord);
  }
}

void
ExecutionLedger::OnNotRun(const Dispatch& aDispatch)
{
  WithRecord(aDispatch, [](ExecutionRecord& aRecord) { aRecord.OnNotRun(); });
}

void
ExecutionLedger::OnDone(const Dispatch& aDispatch,
                        std::shared_ptr<const Outcome> aOutcome)
{
  WithRecord(aDispatch, [&aOutcome](ExecutionRecord& aRecord) {
    aRecord.OnDone(std::move(aOutcome));
  });
}

void
ExecutionLedger::OnUnknown(const Dispatch& aDispatch)
{
  WithRecord(aDispatch, [](ExecutionRecord& aRecord) { aRecord.OnUnknown(); });
}

SettleResponse
ExecutionLedger::Settle(core::TimePoint aNow, const Dispatch& aDispatch)
{
  Shard& shard = ShardOf(aDispatch);
  const std::lock_guard lock(shard.mMutex);
  Entry* entry = FindOrMake(shard, aNow, aDispatch);
  if (entry == nullptr) {
    // The key is forgotten, or there is no room to record the fence.
    return { SettleState::Unknown, nullptr };
  }
  const SettleState state = entry->mRecord.Settle();
  return { state, entry->mRecord.KnownOutcome() };
}

std::size_t
ExecutionLedger::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    size += shard.mEntries.size();
  }
  return size;
}

} // namespace nutmegrock::once
