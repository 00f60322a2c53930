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
    aColumns.push_back({ std::string(aRoute), 0, 0 });
  }
  return aColumns.size() - 1;
}

void
CallGraph::OnRun(core::TimePoint aNow, std::string_view aRoute)
{
  Advance(aNow);
  mRuns[IndexOf(mRuns, aRoute)].mCount += 1;
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
  mRunRun.resize(mRuns.size());
  mRunCall.resize(mRuns.size());
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    mRunRun[i].resize(mRuns.size());
    mRunCall[i].resize(mCalls.size());
  }
  for (std::size_t i = 0; i < mRuns.size(); ++i) {
    for (std::size_t j = 0; j < mRuns.size(); ++j) {
      mRunRun[i][j] = mRunRun[i][j] * keep + mRuns[i].mCount * mRuns[j].mCount;
    }
    for (std::size_t j = 0; j < mCalls.size(); ++j) {
      mRunCall[i][j] =
        mRunCall[i][j] * keep + mRuns[i].mCount * mCalls[j].mCount;
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

void
CallGraph::Solve()
{
  mPerRun.assign(mRuns.size(), std::vector<double>(mCalls.size(), 0.0));
  std::vector<double> per_run;
  for (std::size_t call = 0; call < mCalls.size(); ++call) {
    std::vector<std::size_t> selected;
    double residual = mCallCall[call];
    while (selected.size() < mRuns.size()) {
      std::size_t best = mRuns.size();
      double best_residual = residual * (1 - kMinGain);
      for (std::size_t i = 0; i < mRuns.size(); ++i) {
        if (std::find(selected.begin(), selected.end(), i) != selected.end()) {
          continue;
        }
        selected.push_back(i);
        const double left = Fit(call, selected, per_run);
        selected.pop_back();
        if (left < best_residual) {
          best = i;
          best_residual = left;
        }
      }
      if (best == mRuns.size()) {
        break;
      }
      selected.push_back(best);
      residual = best_residual;
    }
    Fit(call, selected, per_run);
    double explained = 0;
    for (std::size_t i = 0; i < mRuns.size(); ++i) {
      explained += per_run[i] * mRuns[i].mTotal;
    }
    const double scale = explained > 0 ? mCalls[call].mTotal / explained : 0;
    for (std::size_t i = 0; i < mRuns.size(); ++i) {
      mPerRun[i][call] = per_run[i] * scale;
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
