#include "overload/CallGraph.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// A run that failed counts as this part of one.
constexpr double kFailedRun = 0.5;
/// Smaller ratios are calls attributed to the wrong run.
constexpr double kMinRatio = 0.15;
/// Maximum share of calls without a route for the graph to be complete.
constexpr double kMaxUnattributed = 0.1;
/// Maximum number of routes; when exceeded, all are dropped and learned again.
constexpr std::size_t kMaxRoutes = 1024;

} // namespace

CallGraph::CallGraph(CallGraphSettings aSettings)
  : mSettings(aSettings)
{
}

double
CallGraph::KeepOf(core::Duration aElapsed) const
{
  return std::exp(-std::chrono::duration<double>(aElapsed) /
                  mSettings.mDecayTime);
}

CallGraph::Route&
CallGraph::RouteAt(core::TimePoint aNow, std::string_view aRoute)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      mRoutes.clear();
    }
    found = mRoutes.emplace(aRoute, Route{}).first;
    found->second.mDecayedAt = aNow;
  }
  Route& route = found->second;
  const double keep = KeepOf(aNow - route.mDecayedAt);
  route.mDecayedAt = aNow;
  route.mRuns *= keep;
  for (CallRatio& calls : route.mCalls) {
    calls.mPerRun *= keep;
  }
  return route;
}

void
CallGraph::OnRunEnd(core::TimePoint aNow,
                    std::string_view aRoute,
                    bool aSuccessful)
{
  RouteAt(aNow, aRoute).mRuns += aSuccessful ? 1 : kFailedRun;
}

void
CallGraph::OnCalls(core::TimePoint aNow,
                   std::string_view aRunRoute,
                   const CallRatio& aCalls)
{
  const double keep = KeepOf(aNow - mDecayedAt);
  mDecayedAt = aNow;
  mAttributed = mAttributed * keep + aCalls.mPerRun;
  mUnattributed *= keep;
  auto& calls = RouteAt(aNow, aRunRoute).mCalls;
  const auto known =
    std::find_if(calls.begin(), calls.end(), [&](const CallRatio& aKnown) {
      return aKnown.mRoute == aCalls.mRoute;
    });
  if (known != calls.end()) {
    known->mPerRun += aCalls.mPerRun;
  } else {
    calls.push_back(aCalls);
  }
}

void
CallGraph::OnUnattributedCall(core::TimePoint aNow)
{
  const double keep = KeepOf(aNow - mDecayedAt);
  mDecayedAt = aNow;
  mAttributed *= keep;
  mUnattributed = mUnattributed * keep + 1;
}

void
CallGraph::Clear()
{
  mRoutes.clear();
  mAttributed = 0;
  mUnattributed = 0;
}

const CallGraph::Route*
CallGraph::Find(std::string_view aRoute) const
{
  const auto route = mRoutes.find(aRoute);
  return route == mRoutes.end() || route->second.mRuns < mSettings.mMinRuns
           ? nullptr
           : &route->second;
}

std::vector<CallRatio>
CallGraph::CallsOf(std::string_view aRoute) const
{
  std::vector<CallRatio> calls;
  const Route* route = Find(aRoute);
  if (route == nullptr) {
    return calls;
  }
  for (const CallRatio& total : route->mCalls) {
    const double per_run = total.mPerRun / route->mRuns;
    if (per_run >= kMinRatio) {
      calls.push_back({ total.mRoute, per_run });
    }
  }
  return calls;
}

double
CallGraph::PerRun(std::string_view aRunRoute, std::string_view aRoute) const
{
  const Route* route = Find(aRunRoute);
  if (route == nullptr) {
    return 0;
  }
  for (const CallRatio& total : route->mCalls) {
    if (total.mRoute == aRoute) {
      const double per_run = total.mPerRun / route->mRuns;
      return per_run >= kMinRatio ? per_run : 0;
    }
  }
  return 0;
}

bool
CallGraph::IsKnown(std::string_view aRoute) const
{
  return Find(aRoute) != nullptr &&
         mUnattributed <= kMaxUnattributed * (mAttributed + mUnattributed);
}

} // namespace nutmegrock::overload
