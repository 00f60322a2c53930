#pragma once

#include "overload/EntryAdmission.h"
#include "overload/FairOrder.h"
#include "overload/PriorityOrder.h"
#include "overload/WorkQueue.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::tests {

/// Discrete-event model of a scarce service "bookings" with two servers behind
/// 18 entry nodes, in virtual time, around the real order, admission and
/// queues. 77 tenants, whose sizes have the exponent 1.2, send 512 requests per
/// second of four kinds in equal parts: one holds a slot for 0.18 s, two make
/// eight calls of 0.055 s each, one does not use the service. A quarter of the
/// size that is described, with as many requests per entry node.
class BookingsModel
{
public:
  static constexpr std::size_t kTenants = 77;
  static constexpr std::size_t kKinds = 4;
  struct Counts
  {
    int mAsked = 0;
    int mServed = 0;
    double Ratio() const
    {
      return mAsked == 0 ? 1 : static_cast<double>(mServed) / mAsked;
    }
  };

  /// aFair: ranks by FairOrder, otherwise by the identity alone.
  BookingsModel(unsigned aSeed, bool aFair);
  BookingsModel(const BookingsModel&) = delete;
  BookingsModel& operator=(const BookingsModel&) = delete;

  /// Runs for the time with this factor on the usual demand, which is 1.14
  /// times the capacity.
  void Run(core::Duration aTime, double aFactor);
  /// From now on the tenant sends this many times its usual rate.
  void SetExcess(std::size_t aTenant, double aFactor);
  /// The tenant sends that many requests of the first kind on one connection,
  /// of which up to 32 are in progress.
  void Pipeline(std::size_t aTenant, int aRequests);
  /// Forgets the counts; requests in progress are not counted.
  void Clear();
  const Counts& OfTenant(std::size_t aTenant) const
  {
    return mTenants.at(aTenant);
  }
  const Counts& OfKind(std::size_t aKind) const { return mKinds.at(aKind); }
  /// The requests sent by Pipeline().
  const Counts& OfPipeline() const { return mPipeline; }
  /// All requests, but those of a tenant and those sent by Pipeline().
  Counts AllBut(std::size_t aTenant) const;
  /// Mean ratio of the worst-served tenth of the tenants.
  double WorstTenth() const;

private:
  static constexpr std::size_t kNodes = 18;
  static constexpr std::size_t kServers = 2;

  struct Request
  {
    std::size_t mTenant = 0;
    std::size_t mKind = 0;
    double mRank = 0;
    core::TimePoint mDeadline;
    int mCallsLeft = 0;
    std::function<void(bool)> mDone;
  };
  using RequestPtr = std::shared_ptr<Request>;
  struct EntryNode
  {
    overload::RouteCosts mCosts;
    overload::ServiceLoads mLoads;
    overload::EntryAdmission mAdmission{ mCosts, mLoads };
    overload::FairOrder mOrder;
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

  void After(double aSeconds, std::function<void()> aAction);
  void Arrive(std::size_t aTenant);
  void SendPipelined(std::size_t aTenant, std::size_t aNode);
  void Enter(std::size_t aNode,
             std::size_t aTenant,
             std::size_t aKind,
             std::size_t aAhead,
             std::function<void(bool)> aDone);
  void Call(const RequestPtr& aRequest, double aRank);
  void Start(std::size_t aServer, std::uint64_t aId);
  void Apply(std::size_t aServer, const overload::WorkChanges& aChanges);
  void Report(std::size_t aServer);
  void Tick();

  std::mt19937_64 mRandom;
  const bool mFair;
  core::TimePoint mNow{ std::chrono::hours(1) };
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventCount = 0;
  std::uint64_t mNextId = 1;
  std::array<EntryNode, kNodes> mEntryNodes;
  std::array<overload::WorkQueue, kServers> mServers;
  std::unordered_map<std::uint64_t, RequestPtr> mCalls;
  std::vector<double> mRates;
  /// Numbers that end the arrivals of a tenant's earlier rate.
  std::array<int, kTenants> mEpochs{};
  double mFactor = 0;
  int mPipelineLeft = 0;
  std::size_t mPipelineOpen = 0;
  int mRound = 0;
  std::array<Counts, kTenants> mTenants{};
  std::array<Counts, kKinds> mKinds{};
  Counts mPipeline;
};

} // namespace nutmegrock::tests
