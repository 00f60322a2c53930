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

ChainModel::ChainModel(unsigned aSeed)
  : mRandom(aSeed)
  , mDispatch{ "dispatch", kDispatchSlots, overload::WorkQueue() }
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
ChainModel::LeastLostShare(double aFactor)
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
    kDispatchSlots * overload::WorkQueueSettings().mSlotShare;
  return std::max(0.0, work - capacity) / (10 * kRosterSeconds) / asked;
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
  After(WorkTime(aMean), [this, aId] { End(aId, true); });
}

void
ChainModel::Arrive(Kind aKind)
{
  const double rate = InfoOf(aKind).mPerSecond * mFactor;
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
  request.mRefusedBefore = aRefusedBefore;
  const auto decision = mAdmission.Decide(mNow, request);
  Outcome& outcome = mOutcomes.at(static_cast<std::size_t>(aKind));
  if (decision.mAdmitted) {
    Start(aKind,
          std::min(aGivesUpAt, mNow + info.mRouteTimeout),
          [&outcome](bool aSuccess) {
            ++(aSuccess ? outcome.mServed : outcome.mFailed);
          });
  } else if (aRefusedBefore) {
    ++outcome.mRefused;
  } else {
    At(mNow + decision.mRetryAfter,
       [this, aKind, aGivesUpAt] { Enter(aKind, aGivesUpAt, true); });
  }
}

void
ChainModel::Start(Kind aKind, core::TimePoint aDeadline, Done aDone)
{
  const double objective =
    std::chrono::duration<double>(InfoOf(aKind).mObjective).count();
  switch (aKind) {
    case Kind::Check:
      Offer(
        mStock,
        "check",
        objective,
        aDeadline,
        [this, aDeadline](auto aId) {
          After(WorkTime(0.25), [this, aId, aDeadline] {
            CallInTurn(2, "ledger", aDeadline, [this, aId](bool aSuccess) {
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
        objective,
        aDeadline,
        [this, aDeadline](auto aId) {
          After(WorkTime(0.33), [this, aId, aDeadline] {
            CallTogether(2, "index", aDeadline, [this, aId](bool aSuccess) {
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
        objective,
        aDeadline,
        [this](auto aId) {
          After(WorkTime(0.3), [this, aId] { End(aId, true); });
        },
        std::move(aDone));
      break;
    case Kind::Truck:
      Offer(
        mDispatch,
        "truck",
        objective,
        aDeadline,
        [this](auto aId) { RunAtDispatch(aId, kTruckSeconds); },
        std::move(aDone));
      break;
  }
}

void
ChainModel::CallInTurn(int aCount,
                       const std::string& aRoute,
                       core::TimePoint aDeadline,
                       const Done& aDone)
{
  if (aCount == 0) {
    aDone(true);
    return;
  }
  CallRoute(aRoute, aDeadline, [=, this](bool aSuccess) {
    if (aSuccess) {
      CallInTurn(aCount - 1, aRoute, aDeadline, aDone);
    } else {
      aDone(false);
    }
  });
}

void
ChainModel::CallTogether(int aCount,
                         const std::string& aRoute,
                         core::TimePoint aDeadline,
                         const Done& aDone)
{
  const auto left = std::make_shared<int>(aCount);
  const auto failed = std::make_shared<bool>(false);
  for (int i = 0; i < aCount; ++i) {
    CallRoute(aRoute, aDeadline, [left, failed, aDone](bool aSuccess) {
      *failed = *failed || !aSuccess;
      if (--*left == 0) {
        aDone(!*failed);
      }
    });
  }
}

void
ChainModel::CallRoute(const std::string& aRoute,
                      core::TimePoint aDeadline,
                      const Done& aDone)
{
  const auto limit = [&](int aMilliseconds) {
    return std::min(aDeadline, mNow + milliseconds(aMilliseconds));
  };
  if (aRoute == "ledger") {
    const core::TimePoint deadline = limit(3000);
    Offer(
      mBooking,
      aRoute,
      1.2,
      deadline,
      [this, deadline](auto aId) {
        After(WorkTime(0.015), [this, aId, deadline] {
          CallInTurn(1, "index", deadline, [this, aId](bool aSuccess) {
            End(aId, aSuccess);
          });
        });
      },
      aDone);
  } else if (aRoute == "index") {
    const core::TimePoint deadline = limit(2500);
    Offer(
      mArchive,
      aRoute,
      1.2,
      deadline,
      [this, deadline](auto aId) {
        After(WorkTime(0.015), [this, aId, deadline] {
          CallInTurn(5, "roster", deadline, [this, aId](bool aSuccess) {
            End(aId, aSuccess);
          });
        });
      },
      aDone);
  } else {
    Offer(
      mDispatch,
      aRoute,
      0.3,
      limit(700),
      [this](auto aId) { RunAtDispatch(aId, kRosterSeconds); },
      aDone);
  }
}

void
ChainModel::Offer(Service& aService,
                  const std::string& aRoute,
                  double aDueSeconds,
                  core::TimePoint aDeadline,
                  std::function<void(std::uint64_t)> aRun,
                  Done aDone)
{
  const std::uint64_t id = mNextId++;
  Call call;
  call.mService = &aService;
  call.mRoute = aRoute;
  call.mRun = [run = std::move(aRun), id] { run(id); };
  call.mDone = std::move(aDone);
  mCalls.emplace(id, std::move(call));
  const auto accepted =
    aService.mQueue.Offer(mNow,
                          { id,
                            mNow + ToDuration(aDueSeconds),
                            aDeadline,
                            ToDuration(RunSeconds(aRoute)) });
  At(aDeadline, [this, id] { End(id, false); });
  if (!accepted) {
    const Done done = std::move(mCalls.at(id).mDone);
    mCalls.erase(id);
    done(false);
  } else if (*accepted) {
    Apply({ { id }, {} });
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
    const Done done = std::move(mCalls.at(id).mDone);
    mCalls.erase(id);
    done(false);
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
  Service& service = *call.mService;
  if (call.mRunning) {
    const double seconds =
      std::chrono::duration<double>(mNow - call.mStartedAt).count();
    if (aSuccess) {
      double& typical = mRunSeconds[call.mRoute];
      typical += kRunTimeWeight * (seconds - typical);
    }
    Apply(service.mQueue.OnEnd(mNow));
  } else {
    service.mQueue.Remove(aId);
  }
  ReportLoad(service);
  call.mDone(aSuccess);
}

void
ChainModel::ReportLoad(Service& aService)
{
  const double load = aService.mQueue.Load(mNow);
  After(kReportDelay, [this, &aService, load] {
    mLoads.OnServerLoad(
      mNow, aService.mName, "a", core::Incarnation{ 1 }, load);
  });
}

void
ChainModel::Tick()
{
  for (Service* service : { &mStock, &mBooking, &mArchive, &mDispatch }) {
    Apply(service->mQueue.Tick(mNow));
  }
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
