#pragma once

#include "core/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

struct CallGraphSettings
{
  /// Time constant of the decay of old runs; a new release of a backend server
  /// may make other calls.
  core::Duration mDecayTime = std::chrono::seconds{ 12 };
  /// Minimum runs of a route before its estimate is used.
  double mMinRuns = 3;
};

/// Calls on one route per run of another.
struct CallRatio
{
  std::string mRoute;
  double mPerRun = 0;

  bool operator==(const CallRatio&) const = default;
};

/// How many calls on which routes each run of a route makes at the local
/// backend server, counted by RunTracker. Not synchronized.
class CallGraph
{
public:
  explicit CallGraph(CallGraphSettings aSettings = {});

  /// A run of the route ended. One that failed has made half of its calls on
  /// average.
  void OnRunEnd(core::TimePoint aNow,
                std::string_view aRoute,
                bool aSuccessful);
  /// A run of aRunRoute that ends now made these calls.
  void OnCalls(core::TimePoint aNow,
               std::string_view aRunRoute,
               const CallRatio& aCalls);
  /// The server made a call that cannot be attributed to a route.
  void OnUnattributedCall(core::TimePoint aNow);
  /// Forgets all runs and calls, because calls that were not attributed so far
  /// can be from now on.
  void Clear();

  /// Calls per run of the route. Empty when it makes none, or when too few runs
  /// were observed.
  std::vector<CallRatio> CallsOf(std::string_view aRoute) const;
  /// Calls on aRoute per run of aRunRoute; 0 if not listed by CallsOf().
  double PerRun(std::string_view aRunRoute, std::string_view aRoute) const;
  /// Returns true if CallsOf() lists all calls of the route: enough runs were
  /// observed and most calls of the server were attributed.
  bool IsKnown(std::string_view aRoute) const;

private:
  struct Route
  {
    double mRuns = 0;
    /// Total calls by route.
    std::vector<CallRatio> mCalls;
    core::TimePoint mDecayedAt;
  };

  /// The route if its estimate can be used, otherwise null.
  const Route* Find(std::string_view aRoute) const;
  Route& RouteAt(core::TimePoint aNow, std::string_view aRoute);
  double KeepOf(core::Duration aElapsed) const;

  const CallGraphSettings mSettings;
  std::map<std::string, Route, std::less<>> mRoutes;
  /// Calls of the server, decaying.
  double mAttributed = 0;
  double mUnattributed = 0;
  core::TimePoint mDecayedAt;
};

} // namespace nutmegrock::overload
