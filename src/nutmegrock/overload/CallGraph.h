#pragma once

#include "core/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

struct CallGraphSettings
{
  /// Counts are compared over intervals of this length. It covers the time
  /// between the start of a run and its calls, which is below 100 ms in both
  /// deployments.
  core::Duration mInterval = std::chrono::milliseconds{ 400 };
  /// Time constant over which intervals are forgotten; new releases of a
  /// backend server may call differently.
  core::Duration mDecayTime = std::chrono::seconds{ 12 };
  /// Runs of a route after which its estimate is used.
  double mMinRuns = 8;
};

/// Calls on one route for each run of another.
struct CallRatio
{
  std::string mRoute;
  double mPerRun = 0;

  bool operator==(const CallRatio&) const = default;
};

/// Estimates how many calls on which routes a run of each route makes at the
/// backend server beside this node. The calls carry nothing that names the run
/// they belong to, so the counts of runs and calls of equal intervals are
/// compared by least squares with coefficients of at least zero, solved by
/// coordinate descent on the normal equations. Not synchronized.
class CallGraph
{
public:
  explicit CallGraph(CallGraphSettings aSettings = {});

  /// A run of the route began at the backend server.
  void OnRun(core::TimePoint aNow, std::string_view aRoute);
  /// The backend server made a call on the route.
  void OnCall(core::TimePoint aNow, std::string_view aRoute);

  /// Calls that one run of the route makes. Empty when it makes none, or when
  /// too little was seen.
  std::vector<CallRatio> CallsOf(std::string_view aRoute) const;
  /// Whether enough runs of the route were seen for CallsOf().
  bool IsKnown(std::string_view aRoute) const;

private:
  /// Routes of both kinds are numbered as they appear. More are not estimated.
  static constexpr std::size_t kMaxRoutes = 16;

  struct Column
  {
    std::string mRoute;
    double mCount = 0;
    double mTotal = 0;
  };

  void Advance(core::TimePoint aNow);
  void CloseInterval();
  void Solve();
  static std::size_t IndexOf(std::vector<Column>& aColumns,
                             std::string_view aRoute);

  const CallGraphSettings mSettings;
  core::TimePoint mIntervalEnd;
  std::vector<Column> mRuns;
  std::vector<Column> mCalls;
  /// Sums of products of run counts, and of run and call counts.
  std::vector<std::vector<double>> mRunRun;
  std::vector<std::vector<double>> mRunCall;
  /// Calls of column j for each run of column i.
  std::vector<std::vector<double>> mPerRun;
};

} // namespace nutmegrock::overload
