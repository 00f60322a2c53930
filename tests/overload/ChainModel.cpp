#include "tests/overload/ChainModel.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::tests {

namespace {

using std::chrono::milliseconds;

struct KindInfo
{
  const char* mRoute;
  double mPerSecond;
  std::uint32_t mPriority;
  milliseconds mObjective;
  /// Time that the caller waits in all, and for one attempt.
  milliseconds mTimeLimit;
  milliseconds mRouteTimeout;
};

/// In the order of ChainModel::Kind.
constexpr std::array<KindInfo, 4> kKinds{ {
  { "check",
    80,
    2,
    milliseconds(2000),
    milliseconds(6000),
    milliseconds(1500) },
  { "reservation",
    32.4,
    0,
    milliseconds(2000),
    milliseconds(6000),
    milliseconds(2000) },
  { "upload",
    9,
    1,
    milliseconds(1200),
    milliseconds(5000),
    milliseconds(5000) },
  { "truck",
    22.5,
    1,
    milliseconds(400),
    milliseconds(1500),
    milliseconds(800) },
} };

/// Work of calls at "dispatch", and its slots.
constexpr double kRosterSeconds = 0.063;
constexpr double kTruckSeconds = 0.1;
constexpr std::uint32_t kDispatchSlots = 53;
/// The node of "archive" in the windows of "dispatch".
constexpr std::uint32_t kArchiveNode = 1;
/// Rank of calls whose request the node does not know.
constexpr double kUnknownRank = 1.9;
/// Age of a load report when the entry node receives it.
constexpr double kReportDelay = 0.04;
constexpr double kRunTimeWeight = 0.05;
constexpr milliseconds kTick{ 20 };

core::Duration
ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

const KindInfo&
InfoOf(ChainModel::Kind aKind)
{
  return kKinds.at(static_cast<std::size_t>(aKind));
}

} // namespace

ChainModel::ChainModel(unsigned aSeed, std::uint32_t aScale)
  : mRandom(aSeed)
  , mScale(aScale)
  , mStock(ServiceOf("stock", 154 * aScale))
  , mBooking(ServiceOf("booking", 125 * aScale))
  , mArchive(ServiceOf("archive", 125 * aScale))
  , mDispatch(ServiceOf("dispatch", kDispatchSlots * aScale))
  , mRunSeconds{ { "check", 0.94 },           { "ledger", 0.345 },
                 { "reservation", 0.67 },     { "index", 0.33 },
                 { "upload", 0.3 },           { "truck", kTruckSeconds },
                 { "roster", kRosterSeconds } }
{
  for (Service* service : { &mStock, &mBooking, &mArchive, &mDispatch }) {
    service->mQueue.SetSlots(service->mSlots);
    mLoads.SetZones(service->mName, { { "a", service->mSlots } });
  }
  LearnCosts();
  Tick();
}

void
ChainModel::Run(core::Duration aTime, double aFactor)
{
  const bool begins = mFactor == 0;
  mFactor = aFactor;
  if (begins) {
    for (const Kind kind :
         { Kind::Check, Kind::Reservation, Kind::Upload, Kind::Truck }) {
      Arrive(kind);
    }
  }
  const core::TimePoint end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt < end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mAction();
  }
  mNow = end;
}

double
ChainModel::LostShare() const
{
  int asked = 0;
  int lost = 0;
  for (const Outcome& outcome : mOutcomes) {
    asked += outcome.mAsked;
    lost += outcome.mRefused + outcome.mFailed;
  }
  return static_cast<double>(lost) / asked;
}

double
ChainModel::WastedShare() const
{
  return mRuns == 0 ? 0 : static_cast<double>(mWastedRuns) / mRuns;
}

double
ChainModel::LeastLostShare(double aFactor, double aSlowdown)
{
  const auto rate = [aFactor](Kind aKind) {
    return aFactor * InfoOf(aKind).mPerSecond;
  };
  const double asked = rate(Kind::Check) + rate(Kind::Reservation) +
                       rate(Kind::Upload) + rate(Kind::Truck);
  const double work =
    (rate(Kind::Check) + rate(Kind::Reservation)) * 10 * kRosterSeconds +
    rate(Kind::Truck) * kTruckSeconds;
  const double capacity =
    kDispatchSlots * overload::WorkQueueSettings().mSlotShare / aSlowdown;
  return std::max(0.0, work - capacity) / (10 * kRosterSeconds) / asked;
}

ChainModel::Service
ChainModel::ServiceOf(const char* aName, std::uint32_t aSlots)
{
  Service service;
  service.mName = aName;
  service.mSlots = aSlots;
  return service;
}

void
ChainModel::At(core::TimePoint aAt, std::function<void()> aAction)
{
  mEvents.push({ aAt, mEventCount++, std::move(aAction) });
}

void
ChainModel::After(double aSeconds, std::function<void()> aAction)
{
  At(mNow + ToDuration(aSeconds), std::move(aAction));
}

double
ChainModel::WorkTime(double aMean)
{
  return std::uniform_real_distribution<double>(0.3 * aMean,
                                                1.7 * aMean)(mRandom);
}

void
ChainModel::RunAtDispatch(std::uint64_t aId, double aMean)
{
  if (std::bernoulli_distribution(mRefusedShare)(mRandom)) {
    After(0.001, [this, aId] {
      mDispatch.mQueue.OnRefused(mNow);
      End(aId, false);
    });
    return;
  }
  After(WorkTime(aMean) * mSlowdown, [this, aId] { End(aId, true); });
}

void
ChainModel::Arrive(Kind aKind)
{
  const double rate = InfoOf(aKind).mPerSecond * mScale * mFactor;
  After(std::exponential_distribution<double>(rate)(mRandom), [this, aKind] {
    ++mOutcomes.at(static_cast<std::size_t>(aKind)).mAsked;
    Enter(aKind, mNow + InfoOf(aKind).mTimeLimit, false);
    Arrive(aKind);
  });
}

// A refused caller comes back once after the delay that it was told.
void
ChainModel::Enter(Kind aKind, core::TimePoint aGivesUpAt, bool aRefusedBefore)
{
  const KindInfo& info = InfoOf(aKind);
  overload::EntryRequest request;
  request.mRoute = info.mRoute;
  request.mPriority = info.mPriority;
  request.mLatencyObjective = info.mObjective;
  request.mHash = mRandom();
  const auto decision = mAdmission.Decide(request);
  Outcome& outcome = mOutcomes.at(static_cast<std::size_t>(aKind));
  if (decision.mAdmitted) {
    const auto chain = std::make_shared<Request>();
    chain->mChain = { decision.mRank,
                      std::min(aGivesUpAt, mNow + info.mRouteTimeout),
                      0 };
    Start(aKind, chain, [this, &outcome, chain](bool aSuccess) {
      ++(aSuccess ? outcome.mServed : outcome.mFailed);
      mRuns += chain->mRuns;
      mWastedRuns += aSuccess ? 0 : chain->mRuns;
    });
  } else if (aRefusedBefore) {
    ++outcome.mRefused;
  } else {
    At(mNow + decision.mRetryAfter,
       [this, aKind, aGivesUpAt] { Enter(aKind, aGivesUpAt, true); });
  }
}

void
ChainModel::Start(Kind aKind, const RequestPtr& aRequest, Done aDone)
{
  const core::TimePoint deadline = aRequest->mChain.mFinishBy;
  switch (aKind) {
    case Kind::Check:
      Offer(
        mStock,
        "check",
        aRequest,
        deadline,
        [this, aRequest](auto aId) {
          After(WorkTime(0.25), [this, aId, aRequest] {
            CallInTurn(2, "ledger", aRequest, [this, aId](bool aSuccess) {
              End(aId, aSuccess);
            });
          });
        },
        std::move(aDone));
      break;
    case Kind::Reservation:
      Offer(
        mBooking,
        "reservation",
        aRequest,
        deadline,
        [this, aRequest](auto aId) {
          After(WorkTime(0.33), [this, aId, aRequest] {
            CallTogether(2, "index", aRequest, [this, aId](bool aSuccess) {
              End(aId, aSuccess);
            });
          });
        },
        std::move(aDone));
      break;
    case Kind::Upload:
      Offer(
        mArchive,
        "upload",
        aRequest,
        deadline,
        [this](auto aId) {
          After(WorkTime(0.3), [this, aId] { End(aId, true); });
        },
        std::move(aDone));
      break;
    case Kind::Truck:
      Offer(
        mDispatch,
        "truck",
        aRequest,
        deadline,
        [this](auto aId) { RunAtDispatch(aId, kTruckSeconds); },
        std::move(aDone));
      break;
  }
}

void
ChainModel::CallInTurn(int aCount,
                       const std::string& aRoute,
                       const RequestPtr& aRequest,
                       const Done& aDone)
{
  if (aCount == 0) {
    aDone(true);
    return;
  }
  CallRoute(aRoute, aRequest, [=, this](bool aSuccess) {
    if (aSuccess) {
      CallInTurn(aCount - 1, aRoute, aRequest, aDone);
    } else {
      aDone(false);
    }
  });
}

void
ChainModel::CallTogether(int aCount,
                         const std::string& aRoute,
                         const RequestPtr& aRequest,
                         const Done& aDone)
{
  const auto left = std::make_shared<int>(aCount);
  const auto failed = std::make_shared<bool>(false);
  for (int i = 0; i < aCount; ++i) {
    CallRoute(aRoute, aRequest, [left, failed, aDone](bool aSuccess) {
      *failed = *failed || !aSuccess;
      if (--*left == 0) {
        aDone(!*failed);
      }
    });
  }
}

void
ChainModel::CallRoute(const std::string& aRoute,
                      const RequestPtr& aRequest,
                      const Done& aDone)
{
  const auto limit = [&](int aMilliseconds) {
    return std::min(aRequest->mChain.mFinishBy,
                    mNow + milliseconds(aMilliseconds));
  };
  if (aRoute == "ledger") {
    Offer(
      mBooking,
      aRoute,
      aRequest,
      limit(3000),
      [this, aRequest](auto aId) {
        After(WorkTime(0.015), [this, aId, aRequest] {
          CallInTurn(1, "index", aRequest, [this, aId](bool aSuccess) {
            End(aId, aSuccess);
          });
        });
      },
      aDone);
  } else if (aRoute == "index") {
    Offer(
      mArchive,
      aRoute,
      aRequest,
      limit(2500),
      [this, aRequest](auto aId) {
        After(WorkTime(0.015), [this, aId, aRequest] {
          CallInTurn(5, "roster", aRequest, [this, aId](bool aSuccess) {
            End(aId, aSuccess);
          });
        });
      },
      aDone);
  } else {
    Offer(
      mDispatch,
      aRoute,
      aRequest,
      limit(700),
      [this, aRequest](auto aId) {
        ++aRequest->mRuns;
        RunAtDispatch(aId, kRosterSeconds);
      },
      aDone);
  }
}

void
ChainModel::Offer(Service& aService,
                  const std::string& aRoute,
                  const RequestPtr& aRequest,
                  core::TimePoint aDeadline,
                  std::function<void(std::uint64_t)> aRun,
                  Done aDone)
{
  const std::uint64_t id = mNextId++;
  Call call;
  call.mService = &aService;
  call.mRoute = aRoute;
  call.mDownstream = aRoute == "index" ? mDispatch.mName : "";
  call.mRun = [run = std::move(aRun), id] { run(id); };
  call.mDone = std::move(aDone);
  const double rank = aRequest->mChain.mRank;
  const overload::WorkItem item{
    id,        aRoute == "roster" ? kUnknownRank : rank, rank,
    aDeadline, ToDuration(RunSeconds(aRoute)),           call.mDownstream
  };
  if (aRoute == "roster") {
    aService.mWindows.OnStart(kArchiveNode);
  } else {
    ++aService.mDirectCalls;
  }
  mCalls.emplace(id, std::move(call));
  const auto accepted = aService.mQueue.Offer(mNow, item);
  At(aDeadline, [this, id] { End(id, false); });
  if (!accepted) {
    Drop(id);
  } else if (*accepted) {
    Apply({ { id }, {} });
  }
}

// Ends a call that has not run.
void
ChainModel::Drop(std::uint64_t aId)
{
  const Call call = std::move(mCalls.at(aId));
  mCalls.erase(aId);
  Leave(call);
  call.mDone(false);
}

void
ChainModel::Leave(const Call& aCall)
{
  if (aCall.mRoute == "roster") {
    aCall.mService->mWindows.OnEnd(kArchiveNode);
  } else {
    --aCall.mService->mDirectCalls;
  }
}

void
ChainModel::Apply(const overload::WorkChanges& aChanges)
{
  for (const std::uint64_t id : aChanges.mToStart) {
    Call& call = mCalls.at(id);
    call.mRunning = true;
    call.mStartedAt = mNow;
    const auto run = call.mRun;
    run();
  }
  for (const std::uint64_t id : aChanges.mExpired) {
    Drop(id);
  }
}

// Ends of calls that have expired before are ignored.
void
ChainModel::End(std::uint64_t aId, bool aSuccess)
{
  const auto found = mCalls.find(aId);
  if (found == mCalls.end()) {
    return;
  }
  const Call call = std::move(found->second);
  mCalls.erase(found);
  Leave(call);
  Service& service = *call.mService;
  if (call.mRunning) {
    const double seconds =
      std::chrono::duration<double>(mNow - call.mStartedAt).count();
    if (aSuccess) {
      double& typical = mRunSeconds[call.mRoute];
      typical += kRunTimeWeight * (seconds - typical);
    }
    Apply(service.mQueue.OnEnd(mNow, call.mDownstream));
  } else {
    service.mQueue.Remove(aId);
  }
  ReportLoad(service);
  call.mDone(aSuccess);
}

void
ChainModel::ReportLoad(Service& aService)
{
  mArchive.mDownstream.OnResponse(
    mNow, { mDispatch.mName, {}, mDispatch.mWindows.Window(), {}, {} });
  const double load = aService.mQueue.Load(mNow);
  const double cutoff = aService.mQueue.Cutoff();
  After(kReportDelay, [this, &aService, load, cutoff] {
    mLoads.OnServerLoad(
      mNow, { aService.mName, "a", core::Incarnation{ 1 }, load, cutoff });
  });
}

void
ChainModel::LimitRuns(Service& aService, Service& aDownstream)
{
  const std::string& name = aDownstream.mName;
  Apply(aService.mQueue.SetDownstreamLimit(
    mNow, name, aService.mDownstream.LimitOf(mNow, name)));
  const double cutoff = aService.mQueue.DownstreamCutoff(name);
  After(kReportDelay, [this, &aService, &aDownstream, cutoff] {
    const std::string calls =
      overload::NameOfCalls(aService.mName, aDownstream.mName);
    mLoads.OnServerLoad(mNow,
                        { calls, "a", core::Incarnation{ 1 }, 0, cutoff });
  });
}

void
ChainModel::Tick()
{
  for (Service* service : { &mStock, &mBooking, &mArchive, &mDispatch }) {
    service->mWindows.Update(service->mQueue.Limit(), service->mDirectCalls);
    Apply(service->mQueue.Tick(mNow));
  }
  LimitRuns(mArchive, mDispatch);
  mAdmission.Tick(mNow);
  const auto ticks = (mNow - mStart) / kTick;
  if (ticks % 10 == 0) {
    LearnCosts();
  }
  At(mNow + kTick, [this] { Tick(); });
}

// The call graph is known; only the run times are learned.
void
ChainModel::LearnCosts()
{
  const double index = RunSeconds("index");
  const double roster = RunSeconds("roster");
  mCosts.Learn("check",
               { { { "stock", RunSeconds("check") },
                   { "booking", 2 * RunSeconds("ledger") },
                   { "archive", 2 * index },
                   { "dispatch", 10 * roster } },
                 true,
                 false });
  mCosts.Learn("reservation",
               { { { "booking", RunSeconds("reservation") },
                   { "archive", 2 * index },
                   { "dispatch", 10 * roster } },
                 true,
                 false });
  mCosts.Learn("upload",
               { { { "archive", RunSeconds("upload") } }, true, false });
  mCosts.Learn("truck",
               { { { "dispatch", RunSeconds("truck") } }, true, false });
}

} // namespace nutmegrock::tests
