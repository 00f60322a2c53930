#include "RunSimulation.h"

#include <algorithm>

namespace nutmegrock::tests {

using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

core::Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

/// Whole milliseconds, as time limits are sent.
milliseconds
Whole(core::Duration aTime)
{
  return std::chrono::floor<milliseconds>(aTime);
}

} // namespace

RunSimulation::RunSimulation(CallGraph& aGraph,
                             unsigned aSeed,
                             std::vector<SimulatedRoute> aRoutes)
  : mRandom(aSeed)
  , mRoutes(std::move(aRoutes))
  , mTracker(aGraph)
{
  for (std::size_t i = 0; i < mRoutes.size(); ++i) {
    ScheduleNext(i);
  }
}

SimulatedRoute&
RunSimulation::RouteOf(std::string_view aName)
{
  return *std::find_if(
    mRoutes.begin(), mRoutes.end(), [aName](const SimulatedRoute& aRoute) {
      return aRoute.mName == aName;
    });
}

std::string_view
RunSimulation::RouteOfRun(std::uint64_t aRun) const
{
  const auto found = mRuns.find(aRun);
  return found == mRuns.end() ? std::string_view()
                              : mRoutes[found->second.mRoute].mName;
}

void
RunSimulation::At(core::TimePoint aAt, std::function<void()> aAction)
{
  mEvents.emplace(aAt, std::move(aAction));
}

core::Duration
RunSimulation::MessageDelay()
{
  return Seconds(std::uniform_real_distribution<double>(0, 0.001)(mRandom));
}

core::Duration
RunSimulation::TimeAround(double aSeconds)
{
  return Seconds(std::uniform_real_distribution<double>(
    0.5 * aSeconds, 1.5 * aSeconds)(mRandom));
}

void
RunSimulation::Run(core::Duration aTime)
{
  const core::TimePoint end = mNow + aTime;
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    const auto event = mEvents.extract(mEvents.begin());
    mNow = event.key();
    event.mapped()();
  }
  mNow = end;
}

void
RunSimulation::Drain(core::Duration aTime)
{
  mDraining = true;
  Run(aTime);
}

void
RunSimulation::ScheduleNext(std::size_t aRoute)
{
  const double rate = mRoutes[aRoute].mPerSecond;
  if (rate <= 0) {
    return;
  }
  std::exponential_distribution<double> gap(rate);
  At(mNow + Seconds(gap(mRandom)), [this, aRoute] {
    if (!mDraining) {
      ScheduleNext(aRoute);
      Start(aRoute);
    }
  });
}

void
RunSimulation::Start(std::size_t aRoute)
{
  const SimulatedRoute& route = mRoutes[aRoute];
  const std::uint64_t id = mNextId++;
  const core::TimePoint deadline = mNow + route.mLimit;
  SimulatedRun run;
  run.mRoute = aRoute;
  mTracker.OnRun(mNow, id, route.mName, deadline, { 0, deadline, 0 });
  const core::TimePoint received = mNow + MessageDelay();
  run.mServerDeadline = received + Whole(deadline - mNow);
  mRuns.emplace(id, run);
  At(received + TimeAround(route.mWorkSeconds), [this, id] { Continue(id); });
}

void
RunSimulation::Continue(std::uint64_t aRun)
{
  SimulatedRun& run = mRuns.at(aRun);
  const std::vector<SimulatedCalls>& groups = mRoutes[run.mRoute].mCalls;
  if (run.mGroup < groups.size() && run.mInGroup == groups[run.mGroup].mCount) {
    ++run.mGroup;
    run.mInGroup = 0;
  }
  const bool in_time = mNow + milliseconds(1) <= run.mServerDeadline;
  if (run.mFailed || !in_time || run.mGroup >= groups.size()) {
    const bool successful = !run.mFailed && mNow < run.mServerDeadline;
    At(mNow + MessageDelay(),
       [this, aRun, successful] { End(aRun, successful); });
    return;
  }
  const SimulatedCalls& calls = groups[run.mGroup];
  const int count = calls.mTogether ? calls.mCount : 1;
  run.mInGroup += count;
  run.mInProgress = count;
  for (int i = 0; i < count; ++i) {
    Call(aRun, calls);
  }
}

void
RunSimulation::Call(std::uint64_t aRun, const SimulatedCalls& aCalls)
{
  milliseconds timeout = Whole(mRuns.at(aRun).mServerDeadline - mNow);
  if (aCalls.mOwnTimeout.count() > 0) {
    std::uniform_real_distribution<double> part(0.85, 1);
    const std::chrono::duration<double> own = aCalls.mOwnTimeout;
    timeout = std::min(timeout, Whole(Seconds(own.count() * part(mRandom))));
  }
  const core::Duration time = TimeAround(aCalls.mSeconds);
  At(mNow + MessageDelay(), [this, aRun, route = aCalls.mRoute, timeout, time] {
    ReceiveCall(aRun, route, timeout, time);
  });
}

void
RunSimulation::ReceiveCall(std::uint64_t aRun,
                           const std::string& aRoute,
                           milliseconds aTimeout,
                           core::Duration aTime)
{
  SimulatedCall call;
  call.mRun = aRun;
  call.mParent = mTracker.OnCall(mNow, aRoute, aTimeout);
  if (mOnCall) {
    mOnCall(call);
  }
  std::optional<std::uint64_t> parent;
  if (call.mParent && call.mParent->mIdentified) {
    parent = call.mParent->mRun;
  }
  const bool successful = aTime <= aTimeout;
  At(mNow + std::min<core::Duration>(aTime, aTimeout),
     [this, aRun, parent, successful] { EndCall(aRun, parent, successful); });
}

void
RunSimulation::EndCall(std::uint64_t aRun,
                       std::optional<std::uint64_t> aParent,
                       bool aSuccessful)
{
  if (aParent) {
    mTracker.OnCallEnd(mNow, *aParent);
  }
  SimulatedRun& run = mRuns.at(aRun);
  run.mFailed = run.mFailed || !aSuccessful;
  if (--run.mInProgress == 0) {
    At(mNow + MessageDelay(), [this, aRun] { Continue(aRun); });
  }
}

void
RunSimulation::End(std::uint64_t aRun, bool aSuccessful)
{
  mTracker.OnRunEnd(mNow, aRun, aSuccessful);
  mRuns.erase(aRun);
}

double
RatioOf(const CallGraph& aGraph, std::string_view aRun, std::string_view aCall)
{
  for (const CallRatio& ratio : aGraph.CallsOf(aRun)) {
    if (ratio.mRoute == aCall) {
      return ratio.mPerRun;
    }
  }
  return 0;
}

} // namespace nutmegrock::tests
