#include "overload/CallGraph.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Maximum iterations of coordinate descent, and the change of a coefficient
/// below which it ends; a single coefficient needs two.
constexpr int kIterations = 300;
constexpr double kTolerance = 1e-3;
/// Added to the diagonal to avoid a division by zero for a route without runs.
constexpr double kRidge = 1e-3;
/// Minimum relative decrease of the squared residuals for another route to be
/// given a part of the calls.
constexpr double kMinGain = 0.2;
/// Minimum F statistic for a further route: with few intervals, any route fits
/// the rest of the calls.
constexpr double kMinF = 8;
/// Intervals taken off the degrees of freedom: calls of adjacent intervals
/// depend on each other.
constexpr double kDependentIntervals = 3;
/// Weight of the start and of the end of a run, together one run.
constexpr double kEdgeWeight = 0.5;
/// Smaller estimates are noise and are ignored.
constexpr double kMinRatio = 0.15;

} // namespace

CallGraph::CallGraph(CallGraphSettings aSettings)
  : mSettings(aSettings)
{
}

std::size_t
CallGraph::IndexOf(std::vector<Column>& aColumns, std::string_view aRoute)
{
  for (std::size_t i = 0; i < aColumns.size(); ++i) {
    if (aColumns[i].mRoute == aRoute) {
      return i;
    }
  }
  if (aColumns.size() < kMaxRoutes) {
    Column column;
    column.mRoute = aRoute;
    aColumns.push_back(column);
  }
  return aColumns.size() - 1;
}

void
CallGraph::OnRun(core::TimePoint aNow, std::string_view aRoute)
{
  Advance(aNow);
  Column& column = mRuns[IndexOf(mRuns, aRoute)];
  column.mCount += 1;
  column.mActivity += kEdgeWeight;
}

void
CallGraph::OnRunEnd(core::TimePoint aNow, std::string_view aRoute)
{
  Advance(aNow);
  mRuns[IndexOf(mRuns, aRoute)].mActivity += kEdgeWeight;
}

void
CallGraph::OnCall(core::TimePoint aNow, std::string_view aRoute)
{
  Advance(aNow);
  mCalls[IndexOf(mCalls, aRoute)].mCount += 1;
}

void
CallGraph::Advance(core::TimePoint aNow)
{
  if (mIntervalEnd == core::TimePoint{}) {
    mIntervalEnd = aNow + mSettings.mInterval;
  }
  if (aNow < mIntervalEnd) {
    return;
  }
  CloseInterval();
  Solve();
  mIntervalEnd = aNow + mSettings.mInterval;
}

void
CallGraph::CloseInterval()
{
  const double keep =
    std::exp(-static_cast<double>(mSettings.mInterval.count()) /
             static_cast<double>(mSettings.mDecayTime.count()));
  mIntervals = mIntervals * keep + 1;
  mRunRun.resize(mRuns.size());
  mRunCall.resize(mRuns.size());
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    mRunRun[i].resize(mRuns.size());
    mRunCall[i].resize(mCalls.size());
  }
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    for (std::size_t j = 0; j < mRuns.size(); ++j) {
      mRunRun[i][j] =
        mRunRun[i][j] * keep + mRuns[i].mActivity * mRuns[j].mActivity;
    }
    for (std::size_t j = 0; j < mCalls.size(); ++j) {
      mRunCall[i][j] =
        mRunCall[i][j] * keep + mRuns[i].mActivity * mCalls[j].mCount;
    }
  }
  mCallCall.resize(mCalls.size());
  for (std::size_t j = 0; j < mCalls.size(); ++j) {
    mCallCall[j] = mCallCall[j] * keep + mCalls[j].mCount * mCalls[j].mCount;
  }
  for (auto* columns : { &mRuns, &mCalls }) {
    for (Column& column : *columns) {
      column.mTotal = column.mTotal * keep + column.mCount;
      column.mCount = 0;
      column.mTotalActivity = column.mTotalActivity * keep + column.mActivity;
      column.mActivity = 0;
    }
  }
}

double
CallGraph::Fit(std::size_t aCall,
               const std::vector<std::size_t>& aSelected,
               std::vector<double>& aPerRun) const
{
  aPerRun.assign(mRuns.size(), 0);
  double change = 1;
  for (int round = 0; round < kIterations && change > kTolerance; ++round) {
    change = 0;
    for (const std::size_t i : aSelected) {
      double rest = mRunCall[i][aCall];
      for (const std::size_t j : aSelected) {
        rest -= j == i ? 0 : mRunRun[i][j] * aPerRun[j];
      }
      const double next = std::max(0.0, rest / (mRunRun[i][i] + kRidge));
      change = std::max(change, std::abs(next - aPerRun[i]));
      aPerRun[i] = next;
    }
  }
  double residual = mCallCall[aCall];
  for (const std::size_t i : aSelected) {
    residual -= 2 * aPerRun[i] * mRunCall[i][aCall];
    for (const std::size_t j : aSelected) {
      residual += aPerRun[i] * aPerRun[j] * mRunRun[i][j];
    }
  }
  return std::max(0.0, residual);
}

bool
CallGraph::IsSignificant(double aResidual,
                         double aOther,
                         std::size_t aRoutes) const
{
  const double freedom =
    mIntervals - kDependentIntervals - static_cast<double>(aRoutes);
  return aOther < aResidual * (1 - kMinGain) &&
         (aResidual - aOther) * freedom > kMinF * aOther;
}

// Begins with the route that runs most, which another one replaces, or further
// ones join, if that fits the calls significantly better.
std::vector<std::size_t>
CallGraph::SelectRuns(std::size_t aCall) const
{
  std::vector<double> per_run;
  const auto residual_of = [&](const std::vector<std::size_t>& aSelected) {
    return Fit(aCall, aSelected, per_run);
  };
  const auto most = std::max_element(
    mRuns.begin(), mRuns.end(), [](const Column& aLeft, const Column& aRight) {
      return aLeft.mTotalActivity < aRight.mTotalActivity;
    });
  if (most == mRuns.end()) {
    return {};
  }
  std::vector<std::size_t> selected = { static_cast<std::size_t>(
    most - mRuns.begin()) };
  double residual = residual_of(selected);
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    const double other = residual_of({ i });
    if (IsSignificant(residual, other, 1)) {
      selected = { i };
      residual = other;
    }
  }
  while (selected.size() < mRuns.size()) {
    std::vector<std::size_t> best;
    double best_residual = residual;
    for (std::size_t i = 0; i < mRuns.size(); ++i) {
      if (std::find(selected.begin(), selected.end(), i) != selected.end()) {
        continue;
      }
      std::vector<std::size_t> tried = selected;
      tried.push_back(i);
      const double other = residual_of(tried);
      if (other < best_residual) {
        best = std::move(tried);
        best_residual = other;
      }
    }
    if (best.empty() || !IsSignificant(residual, best_residual, best.size())) {
      break;
    }
    selected = std::move(best);
    residual = best_residual;
  }
  return selected;
}

void
CallGraph::Solve()
{
  mPerRun.assign(mRuns.size(), std::vector<double>(mCalls.size(), 0.0));
  std::vector<double> per_run;
  for (std::size_t call = 0; call < mCalls.size(); ++call) {
    const std::vector<std::size_t> selected = SelectRuns(call);
    Fit(call, selected, per_run);
    double explained = 0;
    for (std::size_t i = 0; i < mRuns.size(); ++i) {
      explained += per_run[i] * mRuns[i].mTotalActivity;
    }
    const double scale = explained > 0 ? mCalls[call].mTotal / explained : 0;
    for (std::size_t i = 0; i < mRuns.size(); ++i) {
      const Column& run = mRuns[i];
      mPerRun[i][call] =
        run.mTotal > 0 ? per_run[i] * scale * run.mTotalActivity / run.mTotal
                       : 0;
    }
  }
}

std::vector<CallRatio>
CallGraph::CallsOf(std::string_view aRoute) const
{
  std::vector<CallRatio> calls;
  for (std::size_t i = 0; i < mPerRun.size(); ++i) {
    if (mRuns[i].mRoute != aRoute || mRuns[i].mTotal < mSettings.mMinRuns) {
      continue;
    }
    for (std::size_t j = 0; j < mPerRun[i].size(); ++j) {
      if (mPerRun[i][j] >= kMinRatio) {
        calls.push_back({ mCalls[j].mRoute, mPerRun[i][j] });
      }
    }
  }
  return calls;
}

bool
CallGraph::IsKnown(std::string_view aRoute) const
{
  return std::any_of(mRuns.begin(), mRuns.end(), [&](const Column& aColumn) {
    return aColumn.mRoute == aRoute && aColumn.mTotal >= mSettings.mMinRuns;
  });
}

} // namespace nutmegrock::overload
