#pragma once

#include "core/Time.h"
#include "overload/CallerWindows.h"
#include "overload/DownstreamLimits.h"
#include "overload/EntryAdmission.h"
#include "overload/RequestChain.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"
#include "overload/WorkQueue.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::tests {

/// Discrete-event model of a chain of four services with one server each, in
/// virtual time, around the real admission, work queues, costs and loads. A
/// check runs at "stock", which calls "ledger" twice at "booking"; a ledger and
/// a reservation (also at "booking") lead to one and two calls of "index" at
/// "archive"; each of these calls "roster" at "dispatch" five times in a row. A
/// truck runs at "dispatch", an upload at "archive".
class ChainModel
{
public:
  enum class Kind
  {
    Check,
    Reservation,
    Upload,
    Truck
  };
  struct Outcome
  {
    int mAsked = 0;
    int mServed = 0;
    int mRefused = 0;
    int mFailed = 0;
  };

  /// The demand and the slots are multiplied by aScale. The original size has
  /// 53 slots at "dispatch", fewer than most services.
  explicit ChainModel(unsigned aSeed, std::uint32_t aScale = 1);

  /// Runs for the time with this factor on the usual demand, which is
  /// about 1.4 times the capacity of "dispatch".
  void Run(core::Duration aTime, double aFactor);
  /// From now on "dispatch" refuses this share of the calls by itself.
  void SetRefusedShare(double aShare) { mRefusedShare = aShare; }
  /// From now on "dispatch" takes this many times as long for each call.
  void SetSlowdown(double aFactor) { mSlowdown = aFactor; }
  const Outcome& OutcomeOf(Kind aKind) const
  {
    return mOutcomes.at(static_cast<std::size_t>(aKind));
  }
  /// Share of the requests that were refused or failed.
  double LostShare() const;
  /// Share of the runs at "dispatch" that were made for checks and reservations
  /// which did not complete.
  double WastedShare() const;
  /// Smallest such share that is possible with this factor on the usual demand,
  /// when "dispatch" is used fully for the requests that need least of it.
  static double LeastLostShare(double aFactor, double aSlowdown = 1);

private:
  using Done = std::function<void(bool)>;
  struct Service
  {
    std::string mName;
    std::uint32_t mSlots = 0;
    overload::WorkQueue mQueue;
    overload::CallerWindows mWindows;
    std::uint32_t mDirectCalls = 0;
    /// Limits of the runs here that call other services.
    overload::DownstreamLimits mDownstream;
  };
  /// A request of a caller.
  struct Request
  {
    overload::RequestChain mChain;
    int mRuns = 0;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct Call
  {
    Service* mService = nullptr;
    std::string mRoute;
    /// Service that the run calls.
    std::string mDownstream;
    core::TimePoint mStartedAt;
    bool mRunning = false;
    std::function<void()> mRun;
    Done mDone;
  };
  struct Event
  {
    core::TimePoint mAt;
    std::uint64_t mNumber = 0;
    std::function<void()> mAction;
    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };

  static Service ServiceOf(const char* aName, std::uint32_t aSlots);
  void At(core::TimePoint aAt, std::function<void()> aAction);
  void After(double aSeconds, std::function<void()> aAction);
  double WorkTime(double aMean);
  /// Runs a call at "dispatch".
  void RunAtDispatch(std::uint64_t aId, double aMean);
  void LimitRuns(Service& aService, Service& aDownstream);
  void Arrive(Kind aKind);
  void Enter(Kind aKind, core::TimePoint aGivesUpAt, bool aRefusedBefore);
  void Start(Kind aKind, const RequestPtr& aRequest, Done aDone);
  /// Calls the route aCount times, one after the other.
  void CallInTurn(int aCount,
                  const std::string& aRoute,
                  const RequestPtr& aRequest,
                  const Done& aDone);
  /// Calls the route aCount times at once.
  void CallTogether(int aCount,
                    const std::string& aRoute,
                    const RequestPtr& aRequest,
                    const Done& aDone);
  void CallRoute(const std::string& aRoute,
                 const RequestPtr& aRequest,
                 const Done& aDone);
  void Offer(Service& aService,
             const std::string& aRoute,
             const RequestPtr& aRequest,
             core::TimePoint aDeadline,
             std::function<void(std::uint64_t)> aRun,
             Done aDone);
  void Drop(std::uint64_t aId);
  /// Counts a call that is in progress no more.
  void Leave(const Call& aCall);
  void Apply(const overload::WorkChanges& aChanges);
  void End(std::uint64_t aId, bool aSuccess);
  void ReportLoad(Service& aService);
  void Tick();
  void LearnCosts();
  double RunSeconds(const std::string& aRoute) { return mRunSeconds[aRoute]; }

  std::mt19937_64 mRandom;
  const std::uint32_t mScale;
  core::TimePoint mNow{ std::chrono::hours(1) };
  const core::TimePoint mStart = mNow;
  double mFactor = 0;
  double mRefusedShare = 0;
  double mSlowdown = 1;
  /// Runs at "dispatch" for checks and reservations that have ended, and for
  /// those that did not complete.
  int mRuns = 0;
  int mWastedRuns = 0;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  std::uint64_t mNextId = 1;
  Service mStock;
  Service mBooking;
  Service mArchive;
  Service mDispatch;
  std::unordered_map<std::uint64_t, Call> mCalls;
  std::map<std::string, double> mRunSeconds;
  overload::RouteCosts mCosts;
  overload::ServiceLoads mLoads;
  overload::EntryAdmission mAdmission{ mCosts, mLoads };
  std::array<Outcome, 4> mOutcomes{};
};

} // namespace nutmegrock::tests
