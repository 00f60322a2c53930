#include "overload/ShedLevel.h"

#include <algorithm>
#include <cmath>

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
  }
  mDecayedAt = aNow;
}

void
ShedLevel::OnDemand(core::TimePoint aNow,
                    std::uint32_t aPriority,
                    double aSlotSeconds)
{
  DecayDemand(aNow);
  mDemand.at(std::min<std::size_t>(aPriority, kPriorities - 1)) += aSlotSeconds;
}

// Mean share over the lag window. Before the first update everything was
// admitted.
double
ShedLevel::LaggedShare(core::TimePoint aNow) const
{
  const core::TimePoint begin = aNow - mSettings.mLagBegin;
  const core::TimePoint end = aNow - mSettings.mLagEnd;
  double sum = 0;
  core::TimePoint at = begin;
  double share = 1;
  for (const PastShare& past : mHistory) {
    if (past.mAt >= end) {
      break;
    }
    if (past.mAt > at) {
      sum += share * SecondsOf(past.mAt - at);
      at = past.mAt;
    }
    share = past.mShare;
  }
  sum += share * SecondsOf(end - at);
  return sum / SecondsOf(end - begin);
}

void
ShedLevel::Update(core::TimePoint aNow, double aLoad)
{
  const double load = std::min(aLoad, mSettings.mMaxLoad);
  if (mUpdatedAt == core::TimePoint{}) {
    mLoad = load;
  } else {
    const double step = 1 - std::exp(-SecondsOf(aNow - mUpdatedAt) /
                                     SecondsOf(mSettings.mSmoothing));
    mLoad += step * (load - mLoad);
  }
  mUpdatedAt = aNow;
  const double fits =
    LaggedShare(aNow) * mSettings.mTarget / std::max(mLoad, 0.01);
  mShare = std::clamp(fits, mSettings.mMinShare, kMaxShare);
  mHistory.push_back({ aNow, std::min(1.0, mShare) });
  // The newest share older than the window still applies at its begin.
  while (mHistory.size() > 1 && aNow - mHistory[1].mAt > mSettings.mLagBegin) {
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
