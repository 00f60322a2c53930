#pragma once

#include "once/ExecutionRecord.h"
#include "once/OwnerRecord.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace nutmegrock::test {

/// Deliberate faults of the protocol that the exploration must catch.
enum class Fault : std::uint8_t
{
  None,
  /// An executor promises not to run an unseen key and forgets the promise.
  SettleWithoutFence,
  /// The owner takes a lost answer for a refusal.
  LostMeansNotRun,
  /// The owner takes the answer of a new run at the executor's address for a
  /// promise of the old one.
  GoneMeansFenced,
  /// Another node takes over the keys of an owner that does not answer.
  Takeover
};

/// Bounds of one exploration.
struct Bounds
{
  int mResends = 2;
  int mCrashes = 1;
  int mLosses = 2;
};

/// One key, its owner, two executors, and all messages under way. Every step of
/// every part may happen in any order: a paused process is one whose steps come
/// late, a partition one whose messages are lost or late.
class World
{
public:
  World(Fault aFault, Bounds aBounds)
    : mFault(aFault)
    , mLeft(aBounds)
  {
  }

  /// Calls to the backend server that were made.
  int Runs() const { return mRuns; }
  /// Whether the owner would answer "not run" now.
  bool SaysNotRun() const
  {
    return mOwnerAlive && mOwner.State() == once::OwnerState::Fresh;
  }
  bool IsDone() const { return mOwner.State() == once::OwnerState::Done; }

  /// All worlds one step away.
  std::vector<World> Successors() const
  {
    std::vector<World> next;
    AddArrivals(next);
    AddCrashes(next);
    AddLosses(next);
    for (std::size_t i = 0; i < mExecutors.size(); ++i) {
      AddExecutorSteps(i, next);
    }
    for (std::size_t i = 0; i < mMessages.size(); ++i) {
      World world = Without(i);
      world.Deliver(mMessages[i]);
      next.push_back(std::move(world));
    }
    return next;
  }

  /// Equal for equal worlds.
  std::string Encode() const
  {
    std::string text;
    const auto add = [&text](std::uint64_t aValue) {
      text += std::to_string(aValue) + ',';
    };
    for (const once::OwnerRecord* owner : { &mOwner, &mSecondOwner }) {
      add(static_cast<std::uint64_t>(owner->State()));
      add(owner->Number());
      add(owner->Executor().mBits);
    }
    for (const int value : { static_cast<int>(mOwnerAlive),
                             mRuns,
                             mLeft.mResends,
                             mLeft.mCrashes,
                             mLeft.mLosses }) {
      add(static_cast<std::uint64_t>(value) + 1);
    }
    for (const Executor& executor : mExecutors) {
      text += '|';
      add(executor.mRun);
      for (const auto& [number, work] : executor.mWork) {
        add(number);
        add(static_cast<std::uint64_t>(work.mRecord.State()));
        add(work.mSent ? 1 : 0);
      }
    }
    std::vector<Message> messages = mMessages;
    std::sort(messages.begin(), messages.end());
    for (const Message& message : messages) {
      text += '|';
      add(static_cast<std::uint64_t>(message.mKind));
      add(message.mRun);
      add(message.mNumber);
      add(static_cast<std::uint64_t>(message.mSettle));
    }
    return text;
  }

private:
  enum class Kind : std::uint8_t
  {
    Dispatch,
    NotRun,
    Done,
    Settle,
    Settled,
    Gone
  };

  struct Message
  {
    Kind mKind = Kind::Dispatch;
    /// Run of the executor that it concerns.
    std::uint64_t mRun = 0;
    std::uint32_t mNumber = 0;
    once::SettleState mSettle = once::SettleState::Running;

    auto operator<=>(const Message&) const = default;
  };

  struct Work
  {
    once::ExecutionRecord mRecord;
    bool mSent = false;
  };

  struct Executor
  {
    /// Executor i has the runs i + 1, i + 3, ...
    std::uint64_t mRun = 0;
    std::map<std::uint32_t, Work> mWork;
  };

  /// Dispatch numbers of a second owner stand apart from those of the first.
  static constexpr std::uint32_t kSecondOwner = 10;

  World Without(std::size_t aMessage) const
  {
    World world = *this;
    world.mMessages.erase(world.mMessages.begin() +
                          static_cast<std::ptrdiff_t>(aMessage));
    return world;
  }

  void Send(Kind aKind,
            std::uint64_t aRun,
            std::uint32_t aNumber,
            once::SettleState aSettle = once::SettleState::Running)
  {
    mMessages.push_back({ aKind, aRun, aNumber, aSettle });
  }

  /// A call with the key reaches its owner, first or again, by any entry node.
  void AddArrivals(std::vector<World>& aNext) const
  {
    const bool second = !mOwnerAlive;
    if (mLeft.mResends < 0 || (second && mFault != Fault::Takeover)) {
      return;
    }
    World arrived = *this;
    --arrived.mLeft.mResends;
    const once::OwnerRecord& record = second ? mSecondOwner : mOwner;
    if (record.State() == once::OwnerState::Dispatched) {
      arrived.Send(Kind::Settle,
                   record.Executor().mBits,
                   record.Number() + (second ? kSecondOwner : 0));
      aNext.push_back(std::move(arrived));
      return;
    }
    for (const Executor& executor : mExecutors) {
      World world = arrived;
      once::OwnerRecord& owner = second ? world.mSecondOwner : world.mOwner;
      if (const auto number = owner.Dispatch({ executor.mRun }, {})) {
        world.Send(
          Kind::Dispatch, executor.mRun, number + (second ? kSecondOwner : 0));
      }
      aNext.push_back(std::move(world));
    }
  }

  void AddCrashes(std::vector<World>& aNext) const
  {
    if (mLeft.mCrashes == 0) {
      return;
    }
    World crashed = *this;
    --crashed.mLeft.mCrashes;
    if (mOwnerAlive) {
      World world = crashed;
      world.mOwnerAlive = false;
      aNext.push_back(std::move(world));
    }
    for (std::size_t i = 0; i < mExecutors.size(); ++i) {
      World world = crashed;
      world.mExecutors.at(i).mRun += 2;
      world.mExecutors.at(i).mWork.clear();
      aNext.push_back(std::move(world));
    }
  }

  void AddLosses(std::vector<World>& aNext) const
  {
    if (mLeft.mLosses == 0) {
      return;
    }
    for (std::size_t i = 0; i < mMessages.size(); ++i) {
      World world = Without(i);
      --world.mLeft.mLosses;
      aNext.push_back(std::move(world));
    }
    if (mOwnerAlive && mOwner.State() == once::OwnerState::Dispatched) {
      // The owner finds its connection lost; frames on it may still arrive.
      World world = *this;
      --world.mLeft.mLosses;
      if (mFault == Fault::LostMeansNotRun) {
        world.mOwner.OnNotRun(mOwner.Executor());
      } else {
        world.Send(Kind::Settle, mOwner.Executor().mBits, mOwner.Number());
      }
      aNext.push_back(std::move(world));
    }
  }

  /// An accepted call is refused here, sent to the backend server, or answered.
  void AddExecutorSteps(std::size_t aIndex, std::vector<World>& aNext) const
  {
    const Executor& executor = mExecutors.at(aIndex);
    for (const auto& [number, work] : executor.mWork) {
      if (work.mRecord.State() != once::ExecutionState::Running) {
        continue;
      }
      const auto changed = [this, aIndex, number = number](auto aChange) {
        World world = *this;
        aChange(world, world.mExecutors.at(aIndex).mWork.at(number));
        return world;
      };
      const std::uint64_t run = executor.mRun;
      if (!work.mSent) {
        aNext.push_back(
          changed([run, number = number](World& aWorld, Work& aWork) {
            aWork.mRecord.OnNotRun();
            aWorld.Send(Kind::NotRun, run, number);
          }));
        aNext.push_back(changed([](World& aWorld, Work& aWork) {
          aWork.mSent = true;
          ++aWorld.mRuns;
        }));
        continue;
      }
      aNext.push_back(
        changed([run, number = number](World& aWorld, Work& aWork) {
          aWork.mRecord.OnDone(nullptr);
          aWorld.Send(Kind::Done, run, number);
        }));
      aNext.push_back(
        changed([](World&, Work& aWork) { aWork.mRecord.OnUnknown(); }));
    }
  }

  void Deliver(const Message& aMessage)
  {
    if (aMessage.mKind == Kind::Dispatch || aMessage.mKind == Kind::Settle) {
      DeliverToExecutor(aMessage);
    } else {
      DeliverToOwner(aMessage);
    }
  }

  void DeliverToExecutor(const Message& aMessage)
  {
    Executor& executor = mExecutors.at((aMessage.mRun - 1) % 2);
    const bool settle = aMessage.mKind == Kind::Settle;
    if (executor.mRun != aMessage.mRun) {
      // WrongIncarnation: certain for a dispatch, no promise for a settle.
      Send(settle ? Kind::Gone : Kind::NotRun, aMessage.mRun, aMessage.mNumber);
      return;
    }
    once::ExecutionRecord& record = executor.mWork[aMessage.mNumber].mRecord;
    if (!settle) {
      if (!record.TryStart()) {
        Send(Kind::NotRun, aMessage.mRun, aMessage.mNumber);
      }
      return;
    }
    const auto state = record.Settle();
    if (mFault == Fault::SettleWithoutFence &&
        state == once::SettleState::Fenced) {
      executor.mWork.erase(aMessage.mNumber);
    }
    Send(Kind::Settled, aMessage.mRun, aMessage.mNumber, state);
  }

  void DeliverToOwner(const Message& aMessage)
  {
    const bool second = aMessage.mNumber > kSecondOwner;
    once::OwnerRecord& record = second ? mSecondOwner : mOwner;
    const std::uint32_t number = aMessage.mNumber - (second ? kSecondOwner : 0);
    if (number != record.Number() || (!mOwnerAlive && !second)) {
      // The answer of an earlier dispatch finds nobody waiting.
      return;
    }
    const core::Incarnation executor{ aMessage.mRun };
    const bool promised =
      aMessage.mKind == Kind::Gone && mFault == Fault::GoneMeansFenced;
    if (aMessage.mKind == Kind::NotRun || promised) {
      record.OnNotRun(executor);
    } else if (aMessage.mKind == Kind::Done) {
      record.OnOutcome(executor, nullptr);
    } else if (aMessage.mKind == Kind::Settled) {
      record.OnSettled(executor, aMessage.mSettle, nullptr);
    } else {
      record.OnExecutorLost(executor);
    }
  }

  Fault mFault;
  Bounds mLeft;
  once::OwnerRecord mOwner;
  once::OwnerRecord mSecondOwner;
  bool mOwnerAlive = true;
  std::array<Executor, 2> mExecutors{ Executor{ 1, {} }, Executor{ 2, {} } };
  std::vector<Message> mMessages;
  int mRuns = 0;
};

/// What an exploration of all reachable worlds found.
struct Exploration
{
  std::size_t mWorlds = 0;
  /// Worlds in which the call ran more than once.
  std::size_t mRanTwice = 0;
  /// Worlds in which the owner says "not run" of a call that ran.
  std::size_t mFalseNotRun = 0;
  /// Worlds in which the outcome is known, to show that the model does work.
  std::size_t mDone = 0;
};

inline Exploration
Explore(Fault aFault, Bounds aBounds)
{
  Exploration found;
  std::set<std::string> seen;
  std::vector<World> open = { World(aFault, aBounds) };
  seen.insert(open.back().Encode());
  while (!open.empty()) {
    const World world = std::move(open.back());
    open.pop_back();
    ++found.mWorlds;
    found.mRanTwice += world.Runs() > 1 ? 1 : 0;
    found.mFalseNotRun += world.SaysNotRun() && world.Runs() > 0 ? 1 : 0;
    found.mDone += world.IsDone() ? 1 : 0;
    for (World& next : world.Successors()) {
      if (seen.insert(next.Encode()).second) {
        open.push_back(std::move(next));
      }
    }
  }
  return found;
}

} // namespace nutmegrock::test
