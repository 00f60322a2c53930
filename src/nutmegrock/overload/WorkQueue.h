#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "overload/RankCutoff.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegrock::overload {

struct WorkQueueSettings
{
  /// Share of a server's slots to use. Servers may slow down when they are
  /// nearly full, and a new connection may hold a slot briefly.
  double mSlotShare = 0.95;
  /// Maximum number of waiting calls, as a multiple of the limit.
  double mMaxWaitingRatio = 8;
  /// Time constant of the moving average of the load.
  core::Duration mSmoothing = std::chrono::milliseconds{ 200 };
  /// Time in which a backlog should be drained; the backlog counts as demand
  /// spread over this time. A shorter time than entry nodes need to take effect
  /// makes them shed more than the backlog.
  core::Duration mDrainTime = std::chrono::milliseconds{ 700 };
  /// Share of the started calls that the server refuses itself, above which the
  /// load is at least mRefusingLoad. Requests that lose a call make no further
  /// ones, so the rate of calls says little about the demand then. That load is
  /// just above the target of entry nodes: they admit slowly less, so that no
  /// flood follows when the server accepts calls again.
  double mRefusingShare = 0.2;
  double mRefusingLoad = 1.0;
  /// Time constant of the moving average of that share.
  core::Duration mRefusalTime = std::chrono::milliseconds{ 500 };
  /// Time of starts that may be saved up while the server limits its rate.
  core::Duration mRateBurst = std::chrono::milliseconds{ 250 };
  /// Calls that would wait longer for a limited rate are refused, so that they
  /// can go to another server.
  core::Duration mMaxRateWait = std::chrono::milliseconds{ 500 };
  /// An answer without a limit ends it only if none has named it for this long:
  /// answers overtake each other.
  core::Duration mRateLimitHold = std::chrono::milliseconds{ 500 };
  /// Minimum rate in calls per second. A server that takes no calls could not
  /// report the end of its limit.
  double mMinRate = 0.5;
  /// Part of its time for which a call above the cutoff waits.
  double mMaxWaitShare = 0.125;
  /// Calls this far above the cutoff still count as served, in priorities.
  double mCutoffMargin = 0.1;
};

/// A call to the backend server.
struct WorkItem
{
  std::uint64_t mId = 0;
  /// Rank of the request that the call belongs to; calls run in the order of
  /// their rank, and in the order of arrival for the same rank.
  double mRank = 0;
  /// Rank by which the call counts for the cutoff, if the one above is only
  /// that of its route.
  double mDemandRank = 0;
  /// Time after which the response is no longer useful for the request.
  core::TimePoint mDeadline;
  /// Typical time of such a call at the usual speed of the server; a call with
  /// less than half of this, times WorkQueue::SetWorkTime(), left before its
  /// deadline is removed from the queue.
  core::Duration mTypicalTime{ 0 };
  /// Service that the run of the call will call; empty if none. The number of
  /// such runs may be limited.
  std::string mDownstream;
};

/// State changes of waiting calls.
struct WorkChanges
{
  /// Calls to start now, in this order.
  std::vector<std::uint64_t> mToStart;
  /// Calls that cannot finish before their deadline; they have not run.
  std::vector<std::uint64_t> mExpired;
};

/// Queue of calls to the local backend server: runs as many as the slots allow
/// and as the limits for the services below allow, lowest rank first. Not
/// synchronized.
class WorkQueue
{
public:
  explicit WorkQueue(WorkQueueSettings aSettings = {});

  /// Sets the number of calls that the server runs concurrently.
  void SetSlots(std::uint32_t aSlots);
  /// Sets the factor by which work takes longer than usual at present; see
  /// WorkTime. It applies to all waiting calls and to the load.
  void SetWorkTime(double aFactor) { mWorkTime = aFactor; }
  /// Sets how many of the started calls no longer hold a slot: the server has
  /// finished them, but their response was lost. Their slots are reused, and
  /// they do not count as load.
  WorkChanges SetLost(core::TimePoint aNow, std::uint32_t aLost);
  /// Adds a call: returns true if it starts now, false if it waits. Fails with
  /// QueueFull, or with QueueTimeout if it cannot finish before its deadline.
  /// If the queue is full of calls of a higher rank, the next Tick() removes
  /// the highest of these.
  core::Expected<bool> Offer(core::TimePoint aNow, const WorkItem& aItem);
  /// The server has refused a started call itself. OnEnd() has to be called,
  /// too.
  void OnRefused(core::TimePoint aNow);
  /// A started call with this mDownstream has ended.
  WorkChanges OnEnd(core::TimePoint aNow, const std::string& aDownstream = {});
  /// Limits the running calls that call this service; nullopt for no limit.
  WorkChanges SetDownstreamLimit(core::TimePoint aNow,
                                 const std::string& aService,
                                 std::optional<std::uint32_t> aLimit);
  /// Services that running or waiting calls have called so far.
  std::vector<std::string> Downstream() const;
  /// Number of running calls that call this service, and their limit.
  std::uint32_t DownstreamRunning(const std::string& aService) const;
  std::optional<std::uint32_t> DownstreamLimit(
    const std::string& aService) const;
  /// An answer of the server named the rate in calls per second that it takes,
  /// or none. Calls above it wait.
  void OnRateLimit(core::TimePoint aNow, std::optional<double> aPerSecond);
  /// Another run of the server has begun, which has named no limit yet.
  void ClearRateLimit() { mRateLimit.reset(); }
  std::optional<double> RateLimit() const { return mRateLimit; }
  /// Slots that the server can use at its limited rate, given the recent calls;
  /// aSlots without a limit.
  std::uint32_t UsableSlots(std::uint32_t aSlots) const;
  /// Removes a waiting call. Unknown ids are ignored.
  void Remove(std::uint64_t aId);
  /// Removes calls that cannot finish before their deadline, and those above
  /// the cutoff that have waited for a part of their time: they will not be
  /// served, and their callers can do better than wait. To be called every 20
  /// ms.
  WorkChanges Tick(core::TimePoint aNow);

  std::uint32_t Limit() const { return mLimit; }
  std::uint32_t Running() const { return mRunning; }
  std::size_t Waiting() const { return mItems.size(); }
  /// Running and waiting calls as a share of the limit, or of the limit for the
  /// service below that is used most.
  double Occupancy() const;
  /// Rank up to which calls are served, of those that no service below limits.
  double Cutoff() const { return mOwn.mCutoff.Cutoff(); }
  /// Rank up to which calls that call this service are served, and their rate
  /// per second, while their number is limited.
  double DownstreamCutoff(const std::string& aService) const;
  double DownstreamRate(const std::string& aService) const;
  /// Demand as a share of the server's capacity: the slot time that calls
  /// request per second, averaged, plus the backlog, divided by the limit.
  /// Unlike the queue length it is proportional to the rate of calls admitted
  /// upstream. While the server limits its rate, the demand as a share of that
  /// rate, if it is higher.
  double Load(core::TimePoint aNow) const;

private:
  /// Rank and number of arrival, to the id of the call.
  using Order = std::map<std::pair<double, std::uint64_t>, std::uint64_t>;
  struct Entry
  {
    WorkItem mItem;
    Order::iterator mPosition;
    /// End of the time for which the call waits although it is above the
    /// cutoff.
    core::TimePoint mWaitsUntil;
  };
  /// Calls that call the same service, or none.
  struct Pool
  {
    Order mOrder;
    std::uint32_t mRunning = 0;
    std::optional<std::uint32_t> mLimit;
    RankCutoff mCutoff;
    /// Slot seconds requested by the waiting calls.
    double mWaitingSeconds = 0;

    bool HasRoom() const { return !mLimit || mRunning < *mLimit; }
  };

  /// Number of calls that hold a slot.
  std::uint32_t SlotsInUse() const
  {
    return mRunning - std::min(mLost, mRunning);
  }
  /// Too little time is left for the call.
  bool IsTooLate(core::TimePoint aNow, const WorkItem& aItem) const;
  void Decay(core::TimePoint aNow);
  double DecayFactor(core::TimePoint aNow) const;
  void StartNext(core::TimePoint aNow, WorkChanges& aChanges);
  void CountEnded(core::TimePoint aNow, double aRefused, double aEnded);
  /// Adds the starts that the limited rate allows since the last call.
  void AddTokens(core::TimePoint aNow);
  bool HasToken() const { return !mRateLimit || mTokens >= 1; }
  void CountStart(const WorkItem& aItem);
  void CountExpired(const WorkItem& aItem);
  Pool& PoolOf(const std::string& aDownstream);
  const Pool* FindPool(const std::string& aDownstream) const;
  /// The pool whose next call may start; null if none.
  Pool* NextPool();
  /// The call will not start in time.
  bool IsHopeless(core::TimePoint aNow, const Entry& aEntry) const;
  /// Removes the waiting call of the highest rank, if it is above this one.
  bool Evict(double aRank);
  /// Slot seconds at the usual speed of calls that wait for a slot and not for
  /// a service below.
  double WaitingSeconds() const;
  void UpdateCutoffs(core::TimePoint aNow);

  const WorkQueueSettings mSettings;
  std::uint32_t mLimit = 0;
  std::uint32_t mRunning = 0;
  std::uint32_t mLost = 0;
  double mWorkTime = 1;
  std::uint64_t mNextArrival = 0;
  Pool mOwn;
  std::map<std::string, Pool, std::less<>> mPools;
  core::TimePoint mCutoffsAt;
  std::unordered_map<std::uint64_t, Entry> mItems;
  /// Calls that were removed since the last Tick().
  std::vector<std::uint64_t> mEvicted;
  /// Requested slot seconds, decaying with mSmoothing.
  double mRequestedSeconds = 0;
  /// Requested calls, decaying in the same way.
  double mRequestedCalls = 0;
  core::TimePoint mDecayedAt;
  /// Rate in calls per second that the server takes, if it limits it.
  std::optional<double> mRateLimit;
  core::TimePoint mRateLimitNamedAt;
  /// Calls that may start at the limited rate.
  double mTokens = 0;
  core::TimePoint mTokensAt;
  /// Started calls that the server has refused, and all that have ended,
  /// decaying with mRefusalTime.
  double mRefused = 0;
  double mEnded = 0;
  core::TimePoint mEndedAt;
};

} // namespace nutmegrock::overload
