#pragma once

#include "core/Error.h"
#include "core/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::overload {

struct WorkQueueSettings
{
  /// Part of a server's slots that is used at once. Servers may slow down when
  /// they are nearly full, and a new connection may hold a slot briefly.
  double mSlotShare = 0.95;
  /// Calls that may wait, as a multiple of the slots.
  double mMaxWaiting = 8;
  /// Time constant of the reported load.
  core::Duration mSmoothing = std::chrono::milliseconds{ 200 };
  /// Time within which a backlog is to be worked off; it counts as demand
  /// spread over this time.
  core::Duration mDrainTime = std::chrono::milliseconds{ 400 };
};

/// One call for the server.
struct WorkItem
{
  std::uint64_t mId = 0;
  /// When an answer is due to have its full benefit; the earliest goes first.
  core::TimePoint mDue;
  /// After this time nobody waits for the answer.
  core::TimePoint mDeadline;
  /// Usual time of such a call at the server; a call that has less left than
  /// this leaves the queue.
  core::Duration mTypicalTime{ 0 };
};

/// What became of waiting calls.
struct WorkChanges
{
  /// May start now, in this order.
  std::vector<std::uint64_t> mToStart;
  /// Cannot end in time any more; they have not run.
  std::vector<std::uint64_t> mExpired;
};

/// Decides when calls start at the backend server beside the node: as many as
/// its slots take, the one that is due first before the others. Not
/// synchronized.
class WorkQueue
{
public:
  explicit WorkQueue(WorkQueueSettings aSettings = {});

  /// The server runs this many calls at once.
  void SetSlots(std::uint32_t aSlots);
  /// Of the calls that were started, this many no longer hold a slot: the
  /// server has ended them and their answer is lost. Their slots are used
  /// again, and they do not count as load.
  WorkChanges SetLost(core::TimePoint aNow, std::uint32_t aLost);
  /// A call arrived: true if it may start now, false if it waits. Fails with
  /// QueueFull, or with QueueTimeout when too little of its time is left.
  core::Expected<bool> Offer(core::TimePoint aNow, const WorkItem& aItem);
  /// A call that was started has ended.
  WorkChanges OnEnd(core::TimePoint aNow);
  /// A waiting call is no longer wanted.
  void Remove(std::uint64_t aId);
  /// Finds calls that cannot end in time any more. Call it every 20 ms.
  WorkChanges Tick(core::TimePoint aNow);

  std::uint32_t Limit() const { return mLimit; }
  std::uint32_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mItems.size(); }
  /// Demand as a share of what the server can do: slot time that calls ask for
  /// in a second, averaged, over the slots, and the backlog. Unlike the number
  /// of waiting calls it is proportional to the calls that are let in upstream.
  double Load(core::TimePoint aNow) const;

private:
  using Order = std::multimap<core::TimePoint, std::uint64_t>;
  struct Entry
  {
    WorkItem mItem;
    Order::iterator mPlace;
  };

  /// Calls that hold a slot.
  std::uint32_t Holding() const { return mRunning - std::min(mLost, mRunning); }
  void Decay(core::TimePoint aNow);
  double KeepUntil(core::TimePoint aNow) const;
  void StartNext(core::TimePoint aNow, WorkChanges& aChanges);

  const WorkQueueSettings mSettings;
  std::uint32_t mLimit = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mLost = 0;
  Order mOrder;
  std::unordered_map<std::uint64_t, Entry> mItems;
  /// Slot seconds asked for, fading with mSmoothing.
  double mAsked = 0;
  core::TimePoint mDecayedAt;
  /// Slot seconds that the waiting calls ask for.
  double mWaitingSeconds = 0;
};

} // namespace nutmegrock::overload
