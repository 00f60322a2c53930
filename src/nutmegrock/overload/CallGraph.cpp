#include "overload/CallGraph.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Iterations of coordinate descent; with few coefficients it converges well
/// before.
constexpr int kIterations = 30;
/// Added to the diagonal to avoid a division by zero for a route without runs.
constexpr double kRidge = 1e-3;
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
  for (auto* columns : { &mRuns, &mCalls }) {
    for (Column& column : *columns) {
      column.mTotal = column.mTotal * keep + column.mCount;
      column.mCount = 0;
    }
  }
}

void
CallGraph::Solve()
{
  mPerRun.resize(mRuns.size());
  for (auto& row : mPerRun) {
    row.resize(mCalls.size());
  }
  for (std::size_t call = 0; call < mCalls.size(); ++call) {
    for (int round = 0; round < kIterations; ++round) {
      for (std::size_t i = 0; i < mRuns.size(); ++i) {
        double rest = mRunCall[i][call];
        for (std::size_t j = 0; j < mRuns.size(); ++j) {
          if (j != i) {
            rest -= mRunRun[i][j] * mPerRun[j][call];
          }
        }
        mPerRun[i][call] = std::max(0.0, rest / (mRunRun[i][i] + kRidge));
      }
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
