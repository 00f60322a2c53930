#pragma once

#include "core/Time.h"
#include "overload/EntryAdmission.h"
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

  explicit ChainModel(unsigned aSeed);

  /// Runs for the time with this factor on the usual demand, which is
  /// about 1.4 times the capacity of "dispatch".
  void Run(core::Duration aTime, double aFactor);
  /// From now on "dispatch" refuses this share of the calls by itself.
  void SetRefusedShare(double aShare) { mRefusedShare = aShare; }
  const Outcome& OutcomeOf(Kind aKind) const
  {
    return mOutcomes.at(static_cast<std::size_t>(aKind));
  }
  /// Share of the requests that were refused or failed.
  double LostShare() const;
  /// Smallest such share that is possible with this factor on the usual demand,
  /// when "dispatch" is used fully for the requests that need least of it.
  static double LeastLostShare(double aFactor);

private:
  using Done = std::function<void(bool)>;
  struct Service
  {
    std::string mName;
    std::uint32_t mSlots = 0;
    overload::WorkQueue mQueue;
  };
  struct Call
  {
    Service* mService = nullptr;
    std::string mRoute;
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

  void At(core::TimePoint aAt, std::function<void()> aAction);
  void After(double aSeconds, std::function<void()> aAction);
  double WorkTime(double aMean);
  /// Runs a call at "dispatch".
  void RunAtDispatch(std::uint64_t aId, double aMean);
  void Arrive(Kind aKind);
  void Enter(Kind aKind, core::TimePoint aGivesUpAt, bool aRefusedBefore);
  void Start(Kind aKind, core::TimePoint aDeadline, Done aDone);
  /// Calls the route aCount times, one after the other.
  void CallInTurn(int aCount,
                  const std::string& aRoute,
                  core::TimePoint aDeadline,
                  const Done& aDone);
  /// Calls the route aCount times at once.
  void CallTogether(int aCount,
                    const std::string& aRoute,
                    core::TimePoint aDeadline,
                    const Done& aDone);
  void CallRoute(const std::string& aRoute,
                 core::TimePoint aDeadline,
                 const Done& aDone);
  void Offer(Service& aService,
             const std::string& aRoute,
             double aDueSeconds,
             core::TimePoint aDeadline,
             std::function<void(std::uint64_t)> aRun,
             Done aDone);
  void Apply(const overload::WorkChanges& aChanges);
  void End(std::uint64_t aId, bool aSuccess);
  void ReportLoad(Service& aService);
  void Tick();
  void LearnCosts();
  double RunSeconds(const std::string& aRoute) { return mRunSeconds[aRoute]; }

  std::mt19937_64 mRandom;
  core::TimePoint mNow{ std::chrono::hours(1) };
  const core::TimePoint mStart = mNow;
  double mFactor = 0;
  double mRefusedShare = 0;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  std::uint64_t mNextId = 1;
  Service mStock{ "stock", 154, overload::WorkQueue() };
  Service mBooking{ "booking", 125, overload::WorkQueue() };
  Service mArchive{ "archive", 125, overload::WorkQueue() };
  Service mDispatch;
  std::unordered_map<std::uint64_t, Call> mCalls;
  std::map<std::string, double> mRunSeconds;
  overload::RouteCosts mCosts;
  overload::ServiceLoads mLoads;
  overload::EntryAdmission mAdmission{ mCosts, mLoads };
  std::array<Outcome, 4> mOutcomes{};
};

} // namespace nutmegrock::tests
