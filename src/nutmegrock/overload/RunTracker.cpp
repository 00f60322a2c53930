#include "overload/RunTracker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegrock::overload {

namespace {

/// Weight of a new run in the moving average of the remaining times.
constexpr double kRemainingWeight = 0.1;
/// Maximum number of calls of a run whose remaining time is learned.
constexpr std::size_t kMaxCallEnds = 16;
/// Maximum number of routes; at more, those without runs are dropped.
constexpr std::size_t kMaxRoutes = 1024;
/// Factor by which the previous calls count less with each call.
constexpr double kMatchDecay = 0.99;
/// Minimum share of calls beyond chance that have the deadline of their run.
constexpr double kMinMatched = 0.85;
/// Minimum number of calls without a match by chance to tell.
constexpr double kMinWithoutChance = 12;
/// Offset of the deadlines that are looked up to measure chance. Calls of the
/// same run do not lie this far apart by their timeouts.
constexpr std::chrono::milliseconds kChanceOffset{ 17 };
constexpr std::chrono::milliseconds kTimeoutStep{ 100 };
/// Identified calls after which the others are attributed in proportion, and
/// the minimum share of a route among them.
constexpr double kMinIdentified = 10;
constexpr double kMinRouteShare = 0.03;
constexpr double kMinRouteCalls = 3;
/// Halved when reached, so that a change of the callers is noticed.
constexpr double kMaxIdentified = 2000;
/// Selects a run that is unlikely to have made the call before.
constexpr std::size_t kPickStep = 7919;
/// Runs that are tried to find one with a later deadline.
constexpr std::size_t kMaxPicks = 4;

} // namespace

RunTracker::RunTracker(CallGraph& aGraph, RunTrackerSettings aSettings)
  : mGraph(aGraph)
  , mSettings(aSettings)
{
}

void
RunTracker::Matches::Count(bool aMatched, bool aByChance)
{
  mCalls = mCalls * kMatchDecay + 1;
  mMatched = mMatched * kMatchDecay + (aMatched ? 1 : 0);
  mByChance = mByChance * kMatchDecay + (aByChance ? 1 : 0);
}

bool
RunTracker::Matches::AreReliable() const
{
  const double without_chance = mCalls - mByChance;
  return without_chance >= kMinWithoutChance &&
         mMatched - mByChance >= kMinMatched * without_chance;
}

RunTracker::CallRoute&
RunTracker::CallRouteOf(std::string_view aRoute)
{
  auto found = mCallRoutes.find(aRoute);
  if (found == mCallRoutes.end()) {
    if (mCallRoutes.size() >= kMaxRoutes) {
      mCallRoutes.clear();
    }
    found = mCallRoutes.emplace(aRoute, CallRoute{}).first;
  }
  return found->second;
}

RunTracker::RunRoute&
RunTracker::RunRouteOf(const std::string& aRoute)
{
  return mRunRoutes[aRoute];
}

void
RunTracker::OnRun(core::TimePoint aNow,
                  std::uint64_t aRun,
                  std::string_view aRoute,
                  core::TimePoint aDeadline,
                  const RequestChain& aChain)
{
  OnRunEnd(aNow, aRun, false);
  if (!mRunRoutes.contains(aRoute) && mRunRoutes.size() >= kMaxRoutes) {
    std::erase_if(mRunRoutes, [](const auto& aEntry) {
      return aEntry.second.mRuns.empty();
    });
  }
  Run run;
  run.mRoute = aRoute;
  run.mChain = aChain;
  run.mDeadline = mDeadlines.emplace(aDeadline, aRun);
  run.mStartedAt = aNow;
  RunRoute& route = RunRouteOf(run.mRoute);
  route.mLatestDeadline = std::max(route.mLatestDeadline, aDeadline);
  auto& runs = route.mRuns;
  run.mIndex = runs.size();
  runs.push_back(aRun);
  mRuns.emplace(aRun, std::move(run));
}

double
RunTracker::OnRunEnd(core::TimePoint aNow, std::uint64_t aRun, bool aSuccessful)
{
  const auto found = mRuns.find(aRun);
  if (found == mRuns.end()) {
    return 0;
  }
  const Run run = std::move(found->second);
  mRuns.erase(found);
  RunRoute& route = RunRouteOf(run.mRoute);
  mDeadlines.erase(run.mDeadline);
  auto& runs = route.mRuns;
  runs[run.mIndex] = runs.back();
  runs.pop_back();
  if (run.mIndex < runs.size()) {
    mRuns.at(runs[run.mIndex]).mIndex = run.mIndex;
  }
  double calls = 0;
  for (const CallRatio& made : run.mMade) {
    mGraph.OnCalls(aNow, run.mRoute, made);
    calls += made.mPerRun;
  }
  mGraph.OnRunEnd(aNow, run.mRoute, aSuccessful);
  if (aSuccessful) {
    LearnRemaining(aNow, run);
  }
  return calls;
}

void
RunTracker::LearnRemaining(core::TimePoint aNow, const Run& aRun)
{
  auto& remaining = RunRouteOf(aRun.mRoute).mRemaining;
  const std::size_t count = std::min(kMaxCallEnds, aRun.mCallEnds.size());
  if (remaining.size() < count) {
    remaining.resize(count, -1);
  }
  for (std::size_t i = 0; i < count; ++i) {
    const double seconds =
      std::chrono::duration<double>(aNow - aRun.mCallEnds[i]).count();
    remaining[i] = remaining[i] < 0 ? seconds
                                    : remaining[i] + kRemainingWeight *
                                                       (seconds - remaining[i]);
  }
}

bool
RunTracker::HasRunAt(core::TimePoint aDeadline) const
{
  const auto first = mDeadlines.lower_bound(aDeadline - mSettings.mTolerance);
  return first != mDeadlines.end() &&
         first->first <= aDeadline + mSettings.mTolerance;
}

// A run that has the deadline alone made the call. Of several, only runs of
// routes that are known to make such calls count.
RunTracker::Match
RunTracker::FindByDeadline(core::TimePoint aDeadline,
                           const CallRoute& aCalls) const
{
  Match match;
  core::Duration least = mSettings.mTolerance;
  std::optional<std::uint64_t> any;
  std::size_t count = 0;
  for (auto it = mDeadlines.lower_bound(aDeadline - mSettings.mTolerance);
       it != mDeadlines.end() && it->first <= aDeadline + mSettings.mTolerance;
       ++it) {
    ++count;
    any = it->second;
    const core::Duration distance =
      it->first > aDeadline ? it->first - aDeadline : aDeadline - it->first;
    if (distance <= least && aCalls.MayCall(mRuns.at(it->second).mRoute)) {
      least = distance;
      match.mRun = it->second;
    }
  }
  match.mAny = count > 0;
  match.mUnique = count == 1;
  if (match.mUnique) {
    match.mRun = any;
  }
  return match;
}

bool
RunTracker::IsDeadlineReliable(CallRoute& aCalls,
                               core::TimePoint aDeadline,
                               core::Duration aTimeout,
                               const Match& aMatch) const
{
  const bool by_chance = HasRunAt(aDeadline + kChanceOffset);
  const auto step = static_cast<std::size_t>(
    std::max(core::Duration(0), aTimeout) / kTimeoutStep);
  Matches& matches =
    aCalls.mByTimeout.at(std::min(step, CallRoute::kTimeoutSteps - 1));
  aCalls.mAll.Count(aMatch.mAny, by_chance);
  matches.Count(aMatch.mAny, by_chance);
  return aCalls.mAll.AreReliable() || matches.AreReliable();
}

bool
RunTracker::CallRoute::MayCall(const std::string& aRunRoute) const
{
  const auto calls = mIdentified.find(aRunRoute);
  return calls != mIdentified.end() &&
         calls->second >=
           std::max(kMinRouteCalls, kMinRouteShare * mIdentifiedTotal);
}

void
RunTracker::CountIdentified(CallRoute& aCalls, const std::string& aRunRoute)
{
  aCalls.mIdentified[aRunRoute] += 1;
  aCalls.mIdentifiedTotal += 1;
  if (aCalls.mIdentifiedTotal > kMaxIdentified) {
    aCalls.mIdentifiedTotal /= 2;
    for (auto& [route, calls] : aCalls.mIdentified) {
      calls /= 2;
    }
  }
  if (aCalls.mIdentifiedTotal == kMinIdentified) {
    // Runs that ended before made calls that were not attributed.
    mGraph.Clear();
  }
}

std::uint64_t
RunTracker::PickRunOf(const RunRoute& aRoute, core::TimePoint aDeadline)
{
  const auto& runs = aRoute.mRuns;
  for (std::size_t i = 0; i < kMaxPicks; ++i) {
    mNextPick += kPickStep;
    const std::uint64_t run = runs[mNextPick % runs.size()];
    if (mRuns.at(run).mDeadline->first >= aDeadline) {
      return run;
    }
  }
  return runs[mNextPick % runs.size()];
}

std::optional<std::uint64_t>
RunTracker::PickRun(CallRoute& aCalls, core::TimePoint aDeadline)
{
  struct Candidate
  {
    const std::string* mName = nullptr;
    const RunRoute* mRoute = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const auto& [name, route] : mRunRoutes) {
    if (!route.mRuns.empty() &&
        route.mLatestDeadline + mSettings.mTolerance >= aDeadline) {
      candidates.push_back({ &name, &route });
    }
  }
  if (candidates.size() == 1) {
    // Enough to know that the route makes such calls. How long a route has runs
    // alone does not tell its share of the calls.
    const std::string& name = *candidates.front().mName;
    if (aCalls.mIdentified[name] < kMinIdentified) {
      CountIdentified(aCalls, name);
    }
    return PickRunOf(*candidates.front().mRoute, aDeadline);
  }
  if (aCalls.mIdentifiedTotal < kMinIdentified) {
    return std::nullopt;
  }
  std::erase_if(candidates, [&aCalls](const Candidate& aCandidate) {
    return !aCalls.MayCall(*aCandidate.mName);
  });
  double total = 0;
  for (const Candidate& candidate : candidates) {
    total += aCalls.mIdentified.at(*candidate.mName);
  }
  const RunRoute* chosen = nullptr;
  double* most = nullptr;
  for (const Candidate& candidate : candidates) {
    double& owed = aCalls.mOwed[*candidate.mName];
    owed += aCalls.mIdentified.at(*candidate.mName) / total;
    if (most == nullptr || owed > *most) {
      most = &owed;
      chosen = candidate.mRoute;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  *most -= 1;
  return PickRunOf(*chosen, aDeadline);
}

core::TimePoint
RunTracker::FinishBy(const Run& aRun) const
{
  const core::TimePoint end =
    std::min(aRun.mChain.mFinishBy, aRun.mDeadline->first);
  const auto route = mRunRoutes.find(aRun.mRoute);
  const std::size_t number = aRun.mCallEnds.size() + aRun.mCalls;
  if (route == mRunRoutes.end() || number >= route->second.mRemaining.size()) {
    return end;
  }
  // The learned time may be longer than the time limit of the route now is.
  const core::Duration remaining = std::min(
    std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(
      std::max(0.0, route->second.mRemaining[number]))),
    end - aRun.mStartedAt);
  return end - std::chrono::duration_cast<core::Duration>(
                 mSettings.mRemainingShare * remaining);
}

std::optional<CallParent>
RunTracker::OnCall(core::TimePoint aNow,
                   std::string_view aRoute,
                   core::Duration aTimeout)
{
  CallRoute& calls = CallRouteOf(aRoute);
  const core::TimePoint deadline = aNow + aTimeout;
  const Match match = FindByDeadline(deadline, calls);
  const bool reliable = IsDeadlineReliable(calls, deadline, aTimeout, match);
  std::optional<std::uint64_t> id;
  if (reliable) {
    id = match.mRun;
  }
  if (id && match.mUnique) {
    CountIdentified(calls, mRuns.at(*id).mRoute);
  }
  const bool identified = id.has_value();
  if (!id) {
    id = PickRun(calls, deadline);
  }
  if (!id) {
    mGraph.OnUnattributedCall(aNow);
    return std::nullopt;
  }
  Run& run = mRuns.at(*id);
  CallParent parent;
  parent.mRun = *id;
  parent.mChain = run.mChain;
  // Only if nearly all calls of a route are identified do those of one request
  // keep their order among each other.
  parent.mIdentified = identified && calls.mAll.AreReliable();
  if (parent.mIdentified) {
    parent.mChain.mFinishBy = FinishBy(run);
    // Requests that have used services below go before new ones.
    if (!run.mCallEnds.empty()) {
      parent.mChain.mRank = std::floor(parent.mChain.mRank);
    }
    ++run.mCalls;
  }
  const auto known = std::find_if(
    run.mMade.begin(), run.mMade.end(), [aRoute](const CallRatio& aMade) {
      return aMade.mRoute == aRoute;
    });
  if (known != run.mMade.end()) {
    known->mPerRun += 1;
  } else {
    run.mMade.push_back({ std::string(aRoute), 1 });
  }
  return parent;
}

void
RunTracker::OnCallEnd(core::TimePoint aNow, std::uint64_t aRun)
{
  const auto found = mRuns.find(aRun);
  if (found != mRuns.end() && found->second.mCalls > 0) {
    --found->second.mCalls;
    found->second.mCallEnds.push_back(aNow);
  }
}

} // namespace nutmegrock::overload
