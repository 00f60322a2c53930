#pragma once

#include "core/Time.h"
#include "overload/CallGraph.h"
#include "overload/RequestChain.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::overload {

struct RunTrackerSettings
{
  /// Maximum difference between the deadlines of a run and of its calls: both
  /// are sent in whole milliseconds, and messages take time.
  core::Duration mTolerance = std::chrono::microseconds{ 2500 };
  /// Part of the typical time after a call to the end of its run that has to be
  /// left when the call ends.
  double mRemainingShare = 0.7;
};

/// The run that made a call of the local backend server.
struct CallParent
{
  std::uint64_t mRun = 0;
  /// The request that the run belongs to. mFinishBy is the time at which the
  /// call has to end for the request to complete in time.
  RequestChain mChain;
  /// The run was identified by its deadline; otherwise it is any run of the
  /// route that makes such calls.
  bool mIdentified = false;
};

/// Tracks the runs in progress at the local backend server and finds the run
/// that made a call. Calls name no run, but they end at the deadline of their
/// run, which is rarely shared by another one. Calls on a route with a shorter
/// timeout of its own end before the deadline of their run, so only runs with a
/// later deadline can have made them; if these are all of one route, the route
/// is known. Calls whose run or route is known tell which routes make such
/// calls, and the others are attributed to these routes in proportion. Fills
/// the call graph. Not synchronized.
class RunTracker
{
public:
  /// aGraph must outlive this object.
  explicit RunTracker(CallGraph& aGraph, RunTrackerSettings aSettings = {});

  /// A run started at the server, which was told to end it by aDeadline.
  void OnRun(core::TimePoint aNow,
             std::uint64_t aRun,
             std::string_view aRoute,
             core::TimePoint aDeadline,
             const RequestChain& aChain);
  /// A run ended. Returns the number of calls that it made, as far as they were
  /// attributed to it; 0 for an unknown run.
  double OnRunEnd(core::TimePoint aNow, std::uint64_t aRun, bool aSuccessful);
  /// The server made a call with this timeout. Returns nullopt if the routes
  /// that make such calls are not known yet.
  std::optional<CallParent> OnCall(core::TimePoint aNow,
                                   std::string_view aRoute,
                                   core::Duration aTimeout);
  /// A call that OnCall() identified ended.
  void OnCallEnd(core::TimePoint aNow, std::uint64_t aRun);

private:
  using Deadlines = std::multimap<core::TimePoint, std::uint64_t>;
  struct Run
  {
    std::string mRoute;
    RequestChain mChain;
    Deadlines::iterator mDeadline;
    core::TimePoint mStartedAt;
    /// Index in RunRoute::mRuns.
    std::size_t mIndex = 0;
    /// Identified calls in progress, and the ends of the others.
    std::uint32_t mCalls = 0;
    std::vector<core::TimePoint> mCallEnds;
    /// All calls attributed to the run, by route.
    std::vector<CallRatio> mMade;
  };
  /// Runs of one route.
  struct RunRoute
  {
    std::vector<std::uint64_t> mRuns;
    /// Latest deadline of the runs so far.
    core::TimePoint mLatestDeadline;
    /// Typical time in seconds from the end of the n-th call to the end of the
    /// run; negative if unknown.
    std::vector<double> mRemaining;
  };
  /// How many calls have a run with their deadline, and how many one whose
  /// deadline is off by a fixed time, which is chance.
  struct Matches
  {
    double mCalls = 0;
    double mMatched = 0;
    double mByChance = 0;

    void Count(bool aMatched, bool aByChance);
    /// True if nearly all calls have the deadline of their run.
    bool AreReliable() const;
  };
  /// The run whose deadline is nearest to that of a call.
  struct Match
  {
    std::optional<std::uint64_t> mRun;
    /// Some run has about the deadline.
    bool mAny = false;
    /// No other run has.
    bool mUnique = false;
  };
  /// Calls on one route.
  struct CallRoute
  {
    static constexpr std::size_t kTimeoutSteps = 64;

    Matches mAll;
    std::array<Matches, kTimeoutSteps> mByTimeout{};
    /// Identified calls by the route of their run.
    std::map<std::string, double, std::less<>> mIdentified;
    double mIdentifiedTotal = 0;
    /// Calls that are still to be attributed to each route in proportion.
    std::map<std::string, double, std::less<>> mOwed;

    /// False if runs of the route are known not to make such calls.
    bool MayCall(const std::string& aRunRoute) const;
  };

  Match FindByDeadline(core::TimePoint aDeadline,
                       const CallRoute& aCalls) const;
  bool HasRunAt(core::TimePoint aDeadline) const;
  /// Counts the call among those with its timeout; returns true if deadlines
  /// identify the runs of these.
  bool IsDeadlineReliable(CallRoute& aCalls,
                          core::TimePoint aDeadline,
                          core::Duration aTimeout,
                          const Match& aMatch) const;
  void CountIdentified(CallRoute& aCalls, const std::string& aRunRoute);
  /// Any run with a later deadline, of a route that makes such calls.
  std::optional<std::uint64_t> PickRun(CallRoute& aCalls,
                                       core::TimePoint aDeadline);
  /// Any run of the route, if possible with a later deadline.
  std::uint64_t PickRunOf(const RunRoute& aRoute, core::TimePoint aDeadline);
  core::TimePoint FinishBy(const Run& aRun) const;
  void LearnRemaining(core::TimePoint aNow, const Run& aRun);
  CallRoute& CallRouteOf(std::string_view aRoute);
  RunRoute& RunRouteOf(const std::string& aRoute);

  CallGraph& mGraph;
  const RunTrackerSettings mSettings;
  std::unordered_map<std::uint64_t, Run> mRuns;
  Deadlines mDeadlines;
  std::map<std::string, RunRoute, std::less<>> mRunRoutes;
  std::map<std::string, CallRoute, std::less<>> mCallRoutes;
  /// Selects a run for calls that are not identified.
  std::size_t mNextPick = 0;
};

} // namespace nutmegrock::overload
