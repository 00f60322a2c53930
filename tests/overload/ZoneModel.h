#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"
#include "overload/WorkQueue.h"
#include "overload/ZonePlacement.h"
#include "routing/Router.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::tests {

/// Discrete-event model of several availability zones in virtual time, around
/// the real placement, router, queues and loads of each node. Each zone has
/// three servers of "stock", with 10 slots each, and three of "dispatch", with
/// 20. Requests are lookups and downloads at "stock", and checks at "dispatch"
/// that make two calls of "stock" each. Loads are known to other nodes 0.5 s
/// after their measurement.
class ZoneModel
{
public:
  /// Demand of a zone at a time since the beginning, as a share of the capacity
  /// of its servers of "stock".
  using Demand = std::function<double(std::size_t aZone, double aSeconds)>;

  struct Result
  {
    /// Share of the requests that were answered in time.
    double mServed = 0;
    double mMeanMs = 0;
    double mP99Ms = 0;
    /// Bytes between zones per second.
    double mBytes = 0;
    /// Share of the requests, of the downloads and of the nested calls that ran
    /// in another zone.
    double mLeft = 0;
    double mDownloadsLeft = 0;
    double mNestedLeft = 0;
    /// Share of the requests of each zone that left it, by 250 ms.
    std::vector<std::vector<double>> mLeftBy;
  };

  ZoneModel(unsigned aSeed, std::size_t aZones, Demand aDemand);

  /// Runs for the time and returns what happened to the requests of it.
  Result Run(core::Duration aTime);

private:
  struct Node
  {
    std::size_t mZone = 0;
    std::string mService;
    overload::WorkQueue mQueue;
    overload::ServiceLoads mLoads;
    std::unique_ptr<routing::Router> mRouter;
    std::unique_ptr<overload::ZonePlacement> mPlacement;
    core::TimePoint mLoadsSentAt;
  };
  struct Route
  {
    const char* mName = nullptr;
    const char* mService = nullptr;
    /// At the service, without nested calls.
    double mSeconds = 0;
    std::uint64_t mBytes = 0;
    int mNestedCalls = 0;
    /// Share of the demand for "stock".
    double mShare = 0;
    /// Seconds at "stock", with nested calls.
    double mStockSeconds = 0;
  };
  struct Call
  {
    const Route* mRoute = nullptr;
    std::size_t mEntry = 0;
    core::TimePoint mArrived;
    core::TimePoint mDeadline;
    std::uint64_t mHash = 0;
    std::string mZone;
    std::vector<core::Incarnation> mTried;
    std::size_t mServer = 0;
    core::TimePoint mSentAt;
    core::TimePoint mStartedAt;
    std::function<void(bool)> mDone;
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
  struct Counts
  {
    std::uint64_t mAsked = 0;
    std::uint64_t mLeft = 0;
  };

  static const std::vector<Route>& Routes();
  static const Route& NestedRoute();
  static std::string NameOf(std::size_t aZone);
  void AddNode(std::size_t aZone, const char* aService, std::uint32_t aSlots);
  void At(core::TimePoint aAt, std::function<void()> aAction);
  void Arrive(std::size_t aZone, const Route& aRoute, core::TimePoint aEnd);
  void Enter(const Route& aRoute,
             std::size_t aNode,
             bool aNested,
             core::TimePoint aDeadline,
             std::function<void(bool)> aDone);
  void Send(std::uint64_t aId);
  void OnArrival(std::uint64_t aId);
  void Start(std::uint64_t aId);
  void RunNested(std::uint64_t aId, int aLeft);
  void End(std::uint64_t aId, routing::AttemptOutcome aOutcome);
  void Report(std::size_t aServer, std::size_t aTo);
  void Apply(const overload::WorkChanges& aChanges);
  core::Duration WayTo(const Call& aCall) const;

  std::mt19937_64 mRandom;
  const std::size_t mZones;
  const Demand mDemand;
  const core::TimePoint mBegin{ std::chrono::hours(1) };
  core::TimePoint mNow = mBegin;
  core::TimePoint mTickAt = mBegin;
  overload::RouteCosts mCosts;
  std::vector<std::unique_ptr<Node>> mNodes;
  std::priority_queue<Event> mEvents;
  std::uint64_t mNextEvent = 0;
  std::uint64_t mNextCall = 1;
  std::unordered_map<std::uint64_t, Call> mCalls;
  core::TimePoint mCountFrom;
  std::vector<double> mTimesMs;
  std::uint64_t mLost = 0;
  std::uint64_t mBytes = 0;
  Counts mAll;
  Counts mDownloads;
  Counts mNested;
  /// By zone and 250 ms.
  std::vector<std::vector<Counts>> mBy;
};

} // namespace nutmegrock::tests
