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

/// Deliberate protocol faults that the exploration must detect.
enum class Fault : std::uint8_t
{
  None,
  /// An executor reports an unseen key as fenced but does not record the fence.
  SettleWithoutFence,
  /// The owner treats a lost response as a refusal.
  LostMeansNotRun,
  /// The owner treats the response of a new incarnation at the executor's
  /// address as a fence of the old one.
  GoneMeansFenced,
  /// Another node takes over the keys of an owner that does not respond.
  Takeover
};

/// Limits of one exploration.
struct Bounds
{
  int mResends = 2;
  int mCrashes = 1;
  int mLosses = 2;
};

/// State of one key, its owner, two executors, and all messages in transit. The
/// steps of all components interleave freely: a paused process is one whose
/// steps come late, a partition is one whose messages are lost or late.
class ModelState
{
public:
  ModelState(Fault aFault, Bounds aBounds)
    : mFault(aFault)
    , mRemaining(aBounds)
  {
  }

  /// Number of calls made to the backend server.
  int Runs() const { return mRuns; }
  /// Returns true if the owner would report "not run" now.
  bool ReportsNotRun() const
  {
    return mOwnerAlive && mOwner.State() == once::OwnerState::Fresh;
  }
  bool IsDone() const { return mOwner.State() == once::OwnerState::Done; }

  /// All states reachable in one step.
  std::vector<ModelState> Successors() const
  {
    std::vector<ModelState> next;
    AddArrivals(next);
    AddCrashes(next);
    AddLosses(next);
    for (std::size_t i = 0; i < mExecutors.size(); ++i) {
      AddExecutorSteps(i, next);
    }
    for (std::size_t i = 0; i < mMessages.size(); ++i) {
      ModelState state = WithoutMessage(i);
      state.Deliver(mMessages[i]);
      next.push_back(std::move(state));
    }
    return next;
  }

  /// Equal for equal states.
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
                             mRemaining.mResends,
                             mRemaining.mCrashes,
                             mRemaining.mLosses }) {
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
    /// Incarnation of the executor that the message concerns.
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
    /// Executor i has the incarnations i + 1, i + 3, ...
    std::uint64_t mRun = 0;
    std::map<std::uint32_t, Work> mWork;
  };

  /// Added to the dispatch numbers of a second owner, to tell them from those
  /// of the first.
  static constexpr std::uint32_t kSecondOwnerOffset = 10;

  ModelState WithoutMessage(std::size_t aMessage) const
  {
    ModelState state = *this;
    state.mMessages.erase(state.mMessages.begin() +
                          static_cast<std::ptrdiff_t>(aMessage));
    return state;
  }

  void Send(Kind aKind,
            std::uint64_t aRun,
            std::uint32_t aNumber,
            once::SettleState aSettle = once::SettleState::Running)
  {
    mMessages.push_back({ aKind, aRun, aNumber, aSettle });
  }

  /// A call with the key reaches its owner, for the first time or again,
  /// through any entry node.
  void AddArrivals(std::vector<ModelState>& aNext) const
  {
    const bool second = !mOwnerAlive;
    if (mRemaining.mResends < 0 || (second && mFault != Fault::Takeover)) {
      return;
    }
    ModelState arrived = *this;
    --arrived.mRemaining.mResends;
    const once::OwnerRecord& record = second ? mSecondOwner : mOwner;
    if (record.State() == once::OwnerState::Dispatched) {
      arrived.Send(Kind::Settle,
                   record.Executor().mBits,
                   record.Number() + (second ? kSecondOwnerOffset : 0));
      aNext.push_back(std::move(arrived));
      return;
    }
    for (const Executor& executor : mExecutors) {
      ModelState state = arrived;
      once::OwnerRecord& owner = second ? state.mSecondOwner : state.mOwner;
      if (const auto number = owner.Dispatch({ executor.mRun }, {})) {
        state.Send(Kind::Dispatch,
                   executor.mRun,
                   number + (second ? kSecondOwnerOffset : 0));
      }
      aNext.push_back(std::move(state));
    }
  }

  void AddCrashes(std::vector<ModelState>& aNext) const
  {
    if (mRemaining.mCrashes == 0) {
      return;
    }
    ModelState crashed = *this;
    --crashed.mRemaining.mCrashes;
    if (mOwnerAlive) {
      ModelState state = crashed;
      state.mOwnerAlive = false;
      aNext.push_back(std::move(state));
    }
    for (std::size_t i = 0; i < mExecutors.size(); ++i) {
      ModelState state = crashed;
      state.mExecutors.at(i).mRun += 2;
      state.mExecutors.at(i).mWork.clear();
      aNext.push_back(std::move(state));
    }
  }

  void AddLosses(std::vector<ModelState>& aNext) const
  {
    if (mRemaining.mLosses == 0) {
      return;
    }
    for (std::size_t i = 0; i < mMessages.size(); ++i) {
      ModelState state = WithoutMessage(i);
      --state.mRemaining.mLosses;
      aNext.push_back(std::move(state));
    }
    if (mOwnerAlive && mOwner.State() == once::OwnerState::Dispatched) {
      // The owner detects a lost connection; frames sent on it may still
      // arrive.
      ModelState state = *this;
      --state.mRemaining.mLosses;
      if (mFault == Fault::LostMeansNotRun) {
        state.mOwner.OnNotRun(mOwner.Executor());
      } else {
        state.Send(Kind::Settle, mOwner.Executor().mBits, mOwner.Number());
      }
      aNext.push_back(std::move(state));
    }
  }

  /// An accepted call is refused here, sent to the backend server, or
  /// completed.
  void AddExecutorSteps(std::size_t aIndex,
                        std::vector<ModelState>& aNext) const
  {
    const Executor& executor = mExecutors.at(aIndex);
    for (const auto& [number, work] : executor.mWork) {
      if (work.mRecord.State() != once::ExecutionState::Running) {
        continue;
      }
      const auto changed = [this, aIndex, number = number](auto aChange) {
        ModelState state = *this;
        aChange(state, state.mExecutors.at(aIndex).mWork.at(number));
        return state;
      };
      const std::uint64_t run = executor.mRun;
      if (!work.mSent) {
        aNext.push_back(
          changed([run, number = number](ModelState& aState, Work& aWork) {
            aWork.mRecord.OnNotRun();
            aState.Send(Kind::NotRun, run, number);
          }));
        aNext.push_back(changed([](ModelState& aState, Work& aWork) {
          aWork.mSent = true;
          ++aState.mRuns;
        }));
        continue;
      }
      aNext.push_back(
        changed([run, number = number](ModelState& aState, Work& aWork) {
          aWork.mRecord.OnDone(nullptr);
          aState.Send(Kind::Done, run, number);
        }));
      aNext.push_back(
        changed([](ModelState&, Work& aWork) { aWork.mRecord.OnUnknown(); }));
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
      // WrongIncarnation definitely refuses a dispatch, but does not fence the
      // key for a settle request.
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
    const bool second = aMessage.mNumber > kSecondOwnerOffset;
    once::OwnerRecord& record = second ? mSecondOwner : mOwner;
    const std::uint32_t number =
      aMessage.mNumber - (second ? kSecondOwnerOffset : 0);
    if (number != record.Number() || (!mOwnerAlive && !second)) {
      // A response to an earlier dispatch is ignored.
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
  Bounds mRemaining;
  once::OwnerRecord mOwner;
  once::OwnerRecord mSecondOwner;
  bool mOwnerAlive = true;
  std::array<Executor, 2> mExecutors{ Executor{ 1, {} }, Executor{ 2, {} } };
  std::vector<Message> mMessages;
  int mRuns = 0;
};

/// Results of exploring all reachable states.
struct Exploration
{
  std::size_t mStates = 0;
  /// States in which the call ran more than once.
  std::size_t mRanTwice = 0;
  /// States in which the owner reports "not run" for a call that ran.
  std::size_t mFalseNotRun = 0;
  /// States with a known outcome; shows that the model makes progress.
  std::size_t mDone = 0;
};

inline Exploration
Explore(Fault aFault, Bounds aBounds)
{
  Exploration result;
  std::set<std::string> seen;
  std::vector<ModelState> open = { ModelState(aFault, aBounds) };
  seen.insert(open.back().Encode());
  while (!open.empty()) {
    const ModelState state = std::move(open.back());
    open.pop_back();
    ++result.mStates;
    result.mRanTwice += state.Runs() > 1 ? 1 : 0;
    result.mFalseNotRun += state.ReportsNotRun() && state.Runs() > 0 ? 1 : 0;
    result.mDone += state.IsDone() ? 1 : 0;
    for (ModelState& next : state.Successors()) {
      if (seen.insert(next.Encode()).second) {
        open.push_back(std::move(next));
      }
    }
  }
  return result;
}

} // namespace nutmegrock::test
