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
  /// Length of the intervals over which runs and calls are counted. It has to
  /// cover the time between the start of a run and its calls, which is below
  /// 100 ms in both deployments.
  core::Duration mInterval = std::chrono::milliseconds{ 400 };
  /// Time constant of the decay of old intervals; a new release of a backend
  /// server may make other calls.
  core::Duration mDecayTime = std::chrono::seconds{ 12 };
  /// Minimum runs of a route before its estimate is used.
  double mMinRuns = 8;
};

/// Calls on one route per run of another.
struct CallRatio
{
  std::string mRoute;
  double mPerRun = 0;

  bool operator==(const CallRatio&) const = default;
};

/// Estimates how many calls on which routes each run of a route makes at the
/// local backend server. Calls carry no identifier of the run that makes them,
/// so the calls in an interval are fitted by the runs of each route in it, by
/// non-negative least squares. A run counts one half at its start and one half
/// at its end, since its calls come in between, often intervals after the
/// start. In an overload the counts of all routes are alike, and calls would be
/// spread over all of them; therefore a route gets a part of the calls only if
/// that explains clearly more of their variation. The estimates are scaled to
/// the total number of calls. Not synchronized.
class CallGraph
{
public:
  explicit CallGraph(CallGraphSettings aSettings = {});

  /// A run of the route started at the backend server.
  void OnRun(core::TimePoint aNow, std::string_view aRoute);
  /// A run of the route ended. To be called once for each OnRun().
  void OnRunEnd(core::TimePoint aNow, std::string_view aRoute);
  /// The backend server made a call on the route.
  void OnCall(core::TimePoint aNow, std::string_view aRoute);

  /// Calls per run of the route. Empty when it makes none, or when too few runs
  /// were observed.
  std::vector<CallRatio> CallsOf(std::string_view aRoute) const;
  /// Returns true if enough runs of the route were observed for CallsOf().
  bool IsKnown(std::string_view aRoute) const;

private:
  /// Maximum number of estimated routes, of runs and of calls each; further
  /// ones share the last column.
  static constexpr std::size_t kMaxRoutes = 16;

  struct Column
  {
    std::string mRoute;
    /// Runs or calls that started, in this interval and decayed.
    double mCount = 0;
    double mTotal = 0;
    /// Runs, of which one half counts at the start and one at the end, in this
    /// interval and decayed.
    double mActivity = 0;
    double mTotalActivity = 0;
  };

  void Advance(core::TimePoint aNow);
  void CloseInterval();
  void Solve();
  /// Returns true if a fit by aRoutes routes with the residual aOther is
  /// significantly better than one with aResidual.
  bool IsSignificant(double aResidual,
                     double aOther,
                     std::size_t aRoutes) const;
  /// Columns of the runs that the calls of a column are attributed to.
  std::vector<std::size_t> SelectRuns(std::size_t aCall) const;
  /// Fits the calls of one column by the activity of the selected columns, as
  /// calls per run; returns the sum of squared residuals.
  double Fit(std::size_t aCall,
             const std::vector<std::size_t>& aSelected,
             std::vector<double>& aPerRun) const;
  static std::size_t IndexOf(std::vector<Column>& aColumns,
                             std::string_view aRoute);

  const CallGraphSettings mSettings;
  core::TimePoint mIntervalEnd;
  std::vector<Column> mRuns;
  std::vector<Column> mCalls;
  /// Number of intervals, decaying as the sums below.
  double mIntervals = 0;
  /// Sums of products of activities, and of activities and call counts.
  std::vector<std::vector<double>> mRunRun;
  std::vector<std::vector<double>> mRunCall;
  /// Sums of squares of call counts.
  std::vector<double> mCallCall;
  /// Calls of column j per run of column i.
  std::vector<std::vector<double>> mPerRun;
};

} // namespace nutmegrock::overload
