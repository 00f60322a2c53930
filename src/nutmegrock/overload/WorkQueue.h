#pragma once

#include "core/Error.h"
#include "core/Time.h"

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
  double mMostWaiting = 8;
  /// Time constant of the reported load.
  core::Duration mSmoothing = std::chrono::milliseconds{ 150 };
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
  core::Duration mUsualTime{ 0 };
};

/// What became of waiting calls.
struct WorkChanges
{
  /// May start now, in this order.
  std::vector<std::uint64_t> mStart;
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
  /// A call arrived: true if it may start now, false if it waits. Fails with
  /// QueueFull, or with QueueTimeout when too little of its time is left.
  core::Expected<bool> Offer(core::TimePoint aNow, const WorkItem& aItem);
  /// A call that was started has ended.
  WorkChanges OnEnd(core::TimePoint aNow);
  /// A waiting call is no longer wanted.
  void Withdraw(core::TimePoint aNow, std::uint64_t aId);
  /// Finds calls that cannot end in time any more. Call it every 20 ms.
  WorkChanges Tick(core::TimePoint aNow);

  std::uint32_t Limit() const { return mLimit; }
  std::uint32_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mItems.size(); }
  /// Running and waiting calls as a share of the limit, averaged.
  double Load(core::TimePoint aNow) const;

private:
  using Order = std::multimap<core::TimePoint, std::uint64_t>;
  struct Entry
  {
    WorkItem mItem;
    Order::iterator mPlace;
  };

  void Observe(core::TimePoint aNow);
  double Instant() const;
  void StartNext(core::TimePoint aNow, WorkChanges& aChanges);

  const WorkQueueSettings mSettings;
  std::uint32_t mLimit = 0;
  std::uint32_t mRunning = 0;
  Order mOrder;
  std::unordered_map<std::uint64_t, Entry> mItems;
  double mLoad = 0;
  core::TimePoint mObservedAt;
};

} // namespace nutmegrock::overload
