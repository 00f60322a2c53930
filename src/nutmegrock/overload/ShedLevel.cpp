#include "overload/ShedLevel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace nutmegrock::overload {

namespace {

/// Maximum share. Above 1 nothing is shed; the margin keeps noise in the load
/// from causing shedding.
constexpr double kMaxShare = 1.3;

double
SecondsOf(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Weight of the newest value in a moving average.
double
StepOf(core::Duration aElapsed, core::Duration aTimeConstant)
{
  return 1 - std::exp(-SecondsOf(aElapsed) / SecondsOf(aTimeConstant));
}

} // namespace

ShedLevel::ShedLevel(ShedLevelSettings aSettings)
  : mSettings(aSettings)
  , mShare(kMaxShare)
{
}

void
ShedLevel::DecayDemand(core::TimePoint aNow)
{
  if (mDecayedAt != core::TimePoint{}) {
    const double keep = std::exp(-SecondsOf(aNow - mDecayedAt) /
                                 SecondsOf(mSettings.mDemandDecayTime));
    for (double& demand : mDemand) {
      demand *= keep;
    }
    mDemandSpread *= keep;
  }
  mDecayedAt = aNow;
}

void
ShedLevel::OnDemand(core::TimePoint aNow,
                    std::uint32_t aPriority,
                    double aSlotSeconds,
                    core::Duration aSpread)
{
  DecayDemand(aNow);
  mDemand.at(std::min<std::size_t>(aPriority, kPriorities - 1)) += aSlotSeconds;
  mDemandSpread += aSlotSeconds * SecondsOf(aSpread);
}

// Mean spread of the demand.
core::Duration
ShedLevel::Spread() const
{
  const double total = std::accumulate(mDemand.begin(), mDemand.end(), 0.0);
  if (total <= 0) {
    return core::Duration(0);
  }
  return std::min(mSettings.mMaxSpread,
                  std::chrono::duration_cast<core::Duration>(
                    std::chrono::duration<double>(mDemandSpread / total)));
}

// Mean share of the requests whose calls the latest load report covers. Before
// the first update everything was admitted.
double
ShedLevel::ArrivingShare(core::TimePoint aNow) const
{
  const core::TimePoint end = aNow - mSettings.mReportDelay;
  const core::TimePoint begin = end - Spread();
  double sum = 0;
  core::TimePoint at = begin;
  double share = 1;
  for (const PastShare& past : mHistory) {
    if (past.mAt > end) {
      break;
    }
    if (past.mAt > at) {
      sum += share * SecondsOf(past.mAt - at);
      at = past.mAt;
    }
    share = past.mShare;
  }
  if (begin == end) {
    return share;
  }
  return (sum + share * SecondsOf(end - at)) / SecondsOf(end - begin);
}

void
ShedLevel::Update(core::TimePoint aNow, double aLoad)
{
  const double load = std::min(aLoad, mSettings.mMaxLoad);
  const double arriving = ArrivingShare(aNow);
  if (mUpdatedAt == core::TimePoint{}) {
    mLoad = load;
  } else {
    const core::Duration elapsed = aNow - mUpdatedAt;
    mServerShare +=
      StepOf(elapsed, mSettings.mServerSmoothing) * (arriving - mServerShare);
    const double step = StepOf(elapsed, mSettings.mSmoothing);
    mLoadShare += step * (mServerShare - mLoadShare);
    mLoad += step * (load - mLoad);
  }
  mUpdatedAt = aNow;
  const double fits = mLoadShare * mSettings.mTarget / std::max(mLoad, 0.01);
  mShare = std::clamp(fits, mSettings.mMinShare, kMaxShare);
  mHistory.push_back({ aNow, std::min(1.0, mShare) });
  // The newest share older than the longest window still applies at its begin.
  const core::TimePoint oldest =
    aNow - mSettings.mReportDelay - mSettings.mMaxSpread;
  while (mHistory.size() > 1 && mHistory[1].mAt < oldest) {
    mHistory.pop_front();
  }
}

double
ShedLevel::Admitted(std::uint32_t aPriority) const
{
  if (mShare >= 1) {
    return 1;
  }
  const std::size_t priority =
    std::min<std::size_t>(aPriority, kPriorities - 1);
  double total = 0;
  double above = 0;
  for (std::size_t i = 0; i < kPriorities; ++i) {
    total += mDemand[i];
    above += i < priority ? mDemand[i] : 0;
  }
  if (total <= 0 || mDemand[priority] <= 0) {
    return above < total * mShare ? 1 : 0;
  }
  return std::clamp((mShare * total - above) / mDemand[priority], 0.0, 1.0);
}

} // namespace nutmegrock::overload
