#include "once/KeyOwner.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::once {

namespace {

BeginResult
MakeResult(BeginAction aAction)
{
  BeginResult result;
  result.mAction = aAction;
  return result;
}

} // namespace

core::Expected<std::unique_ptr<KeyOwner>>
KeyOwner::Create(const KeyOwnerSettings& aSettings)
{
  if (!aSettings.mSelf.IsKnown() ||
      aSettings.mRetention <= core::Duration::zero() ||
      aSettings.mMaxKeys < kShards) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "key owner needs an incarnation, a positive retention "
                      "and a maximum of at least one key per shard");
  }
  return std::unique_ptr<KeyOwner>(new KeyOwner(aSettings));
}

KeyOwner::KeyOwner(const KeyOwnerSettings& aSettings)
  : mSettings(aSettings)
{
}

IdempotencyKey
KeyOwner::Issue()
{
  return { mSettings.mSelf, mSettings.mAddress, mNextSequence++ };
}

std::string
KeyOwner::TextOf(const IdempotencyKey& aKey) const
{
  return aKey.ToString(mSettings.mSecret);
}

std::string
KeyOwner::TextOf(const Dispatch& aDispatch) const
{
  return aDispatch.ToString(mSettings.mSecret);
}

core::Expected<IdempotencyKey>
KeyOwner::Parse(std::string_view aText) const
{
  return IdempotencyKey::Parse(aText, mSettings.mSecret);
}

KeyOwner::Shard&
KeyOwner::ShardOf(const IdempotencyKey& aKey)
{
  return mShards.at(aKey.mSequence % kShards);
}

bool
KeyOwner::IsFull(const Shard& aShard) const
{
  return aShard.mEntries.size() >= mSettings.mMaxKeys / kShards;
}

void
KeyOwner::Forget(Shard& aShard, core::TimePoint aNow) const
{
  // An entry in use stops the cleanup, so the entries after it are kept too.
  while (!aShard.mOrder.empty()) {
    const std::uint64_t sequence = aShard.mOrder.front();
    const Entry& entry = aShard.mEntries.at(sequence);
    const bool expired = entry.mLastUse + mSettings.mRetention <= aNow;
    if (entry.mBusy || (!expired && !IsFull(aShard))) {
      return;
    }
    aShard.mHighestForgotten = std::max(aShard.mHighestForgotten, sequence);
    aShard.mEntries.erase(sequence);
    aShard.mOrder.pop_front();
  }
}

BeginResult
KeyOwner::DecideAction(Entry& aEntry) const
{
  if (aEntry.mBusy) {
    return MakeResult(BeginAction::Busy);
  }
  const OwnerRecord& record = aEntry.mRecord;
  switch (record.State()) {
    case OwnerState::Fresh:
      aEntry.mBusy = true;
      return MakeResult(BeginAction::Dispatch);
    case OwnerState::Dispatched:
      aEntry.mBusy = true;
      return { BeginAction::Settle,
               nullptr,
               record.Number(),
               record.Executor(),
               record.ExecutorAddress() };
    case OwnerState::Done:
      return { BeginAction::OutcomeKnown, record.KnownOutcome(), 0, {}, {} };
    case OwnerState::Unknown:
      break;
  }
  return {};
}

BeginResult
KeyOwner::Begin(core::TimePoint aNow,
                const IdempotencyKey& aKey,
                std::uint64_t aDigest)
{
  Shard& shard = ShardOf(aKey);
  const std::lock_guard lock(shard.mMutex);
  auto found = shard.mEntries.find(aKey.mSequence);
  if (found == shard.mEntries.end()) {
    Forget(shard, aNow);
    // Possibly forgotten, or never issued.
    if (aKey.mSequence <= shard.mHighestForgotten ||
        aKey.mSequence >= mNextSequence) {
      return {};
    }
    if (IsFull(shard)) {
      return MakeResult(BeginAction::Full);
    }
    found = shard.mEntries.emplace(aKey.mSequence, Entry{}).first;
    found->second.mDigest = aDigest;
    shard.mOrder.push_back(aKey.mSequence);
  }
  Entry& entry = found->second;
  if (entry.mDigest != aDigest) {
    return MakeResult(BeginAction::Reused);
  }
  entry.mLastUse = aNow;
  return DecideAction(entry);
}

template<class Function>
void
KeyOwner::WithRecord(const IdempotencyKey& aKey, Function aFunction)
{
  Shard& shard = ShardOf(aKey);
  const std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aKey.mSequence);
  if (found != shard.mEntries.end()) {
    aFunction(found->second);
  }
}

std::uint32_t
KeyOwner::OnDispatch(const IdempotencyKey& aKey,
                     core::Incarnation aExecutor,
                     const core::Address& aAddress)
{
  std::uint32_t number = 0;
  WithRecord(aKey, [&](Entry& aEntry) {
    number = aEntry.mRecord.Dispatch(aExecutor, aAddress);
  });
  return number;
}

void
KeyOwner::OnNotRun(const IdempotencyKey& aKey, core::Incarnation aExecutor)
{
  WithRecord(aKey, [&](Entry& aEntry) { aEntry.mRecord.OnNotRun(aExecutor); });
}

void
KeyOwner::OnOutcome(const IdempotencyKey& aKey,
                    core::Incarnation aExecutor,
                    std::shared_ptr<const Outcome> aOutcome)
{
  WithRecord(aKey, [&](Entry& aEntry) {
    aEntry.mRecord.OnOutcome(aExecutor, std::move(aOutcome));
  });
}

void
KeyOwner::OnSettled(const IdempotencyKey& aKey,
                    core::Incarnation aExecutor,
                    SettleState aState,
                    std::shared_ptr<const Outcome> aOutcome)
{
  WithRecord(aKey, [&](Entry& aEntry) {
    aEntry.mRecord.OnSettled(aExecutor, aState, std::move(aOutcome));
  });
}

void
KeyOwner::OnExecutorLost(const IdempotencyKey& aKey,
                         core::Incarnation aExecutor)
{
  WithRecord(aKey,
             [&](Entry& aEntry) { aEntry.mRecord.OnExecutorLost(aExecutor); });
}

void
KeyOwner::End(core::TimePoint aNow, const IdempotencyKey& aKey)
{
  WithRecord(aKey, [aNow](Entry& aEntry) {
    aEntry.mBusy = false;
    aEntry.mLastUse = aNow;
  });
}

std::size_t
KeyOwner::Size() const
{
  std::size_t size = 0;
  for (const Shard& shard : mShards) {
    const std::lock_guard lock(shard.mMutex);
    size += shard.mEntries.size();
  }
  return size;
}

} // namespace nutmegrock::once
