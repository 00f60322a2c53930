#pragma once

#include "core/Time.h"
#include "overload/CallGraph.h"
#include "overload/RunTracker.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegrock::tests {

/// Calls that each run of a route makes on one route.
struct SimulatedCalls
{
  std::string mRoute;
  int mCount = 1;
  /// All calls at once instead of one after the other.
  bool mTogether = false;
  /// Average time of a call; the times vary by half.
  double mSeconds = 0.02;
  /// Timeout of the route; zero if calls have only that of their run.
  std::chrono::milliseconds mOwnTimeout{ 0 };
};

/// Runs of one route at the simulated server.
struct SimulatedRoute
{
  std::string mName;
  double mPerSecond = 0;
  /// Time limit of the request, which starts when the run starts.
  std::chrono::milliseconds mLimit{ 1500 };
  /// Average time before the first call; it varies by half.
  double mWorkSeconds = 0.01;
  /// Made in this order.
  std::vector<SimulatedCalls> mCalls;
};

/// A call as the node of the server sees it, and the run that made it.
struct SimulatedCall
{
  std::uint64_t mRun = 0;
  std::optional<overload::CallParent> mParent;
};

/// Discrete-event model of a backend server and the RunTracker of its node, in
/// virtual time. Time limits are sent in whole milliseconds, messages between
/// the two take up to 1 ms, and runs start at random times. A run without time
/// left, or with a call that timed out, fails.
class RunSimulation
{
public:
  RunSimulation(overload::CallGraph& aGraph,
                unsigned aSeed,
                std::vector<SimulatedRoute> aRoutes);

  /// Called for each call after the tracker.
  void SetOnCall(std::function<void(const SimulatedCall&)> aOnCall)
  {
    mOnCall = std::move(aOnCall);
  }
  /// To change a route between two calls of Run(); the route must exist.
  SimulatedRoute& RouteOf(std::string_view aName);
  void Run(core::Duration aTime);
  /// Time from now on without new runs.
  void Drain(core::Duration aTime);
  /// Route of a run in progress; empty if there is none with this id.
  std::string_view RouteOfRun(std::uint64_t aRun) const;

private:
  struct SimulatedRun
  {
    std::size_t mRoute = 0;
    /// Deadline as the server knows it.
    core::TimePoint mServerDeadline;
    std::size_t mGroup = 0;
    int mInGroup = 0;
    int mInProgress = 0;
    bool mFailed = false;
  };

  void At(core::TimePoint aAt, std::function<void()> aAction);
  core::Duration MessageDelay();
  core::Duration TimeAround(double aSeconds);
  void ScheduleNext(std::size_t aRoute);
  void Start(std::size_t aRoute);
  /// The run makes its next calls, or ends.
  void Continue(std::uint64_t aRun);
  void Call(std::uint64_t aRun, const SimulatedCalls& aCalls);
  void ReceiveCall(std::uint64_t aRun,
                   const std::string& aRoute,
                   std::chrono::milliseconds aTimeout,
                   core::Duration aTime);
  void EndCall(std::uint64_t aRun,
               std::optional<std::uint64_t> aParent,
               bool aSuccessful);
  void End(std::uint64_t aRun, bool aSuccessful);

  std::mt19937_64 mRandom;
  std::vector<SimulatedRoute> mRoutes;
  overload::RunTracker mTracker;
  std::function<void(const SimulatedCall&)> mOnCall;
  core::TimePoint mNow{ std::chrono::hours(1) };
  bool mDraining = false;
  std::multimap<core::TimePoint, std::function<void()>> mEvents;
  std::uint64_t mNextId = 1;
  std::unordered_map<std::uint64_t, SimulatedRun> mRuns;
};

/// Calls on aCall per run of aRun; 0 if there are none.
double
RatioOf(const overload::CallGraph& aGraph,
        std::string_view aRun,
        std::string_view aCall);

} // namespace nutmegrock::tests
