#include "overload/EntryAdmission.h"

#include <algorithm>

namespace nutmegrock::overload {

namespace {

/// Cost at an overloaded service, in slot seconds, of a route whose calls are
/// not known yet. Until they are, the priority alone decides.
constexpr double kUnknownCost = 0.05;
/// Loads from here on are followed; below nothing can be shed for a long time.
constexpr double kMinLoad = 0.3;
/// Loads that are followed at a time, heaviest services first: several services
/// in the 25 availability zones of the design.
constexpr std::size_t kMaxFollowed = 256;
/// A caller who was refused before is drawn as if its number were this share of
/// what it is, so that it goes before a new one of its kind.
constexpr double kReturnedDraw = 0.5;
/// Pause of a refused caller, as a share of the latency objective: the answer
/// to the second try can still have its full benefit. Spread, so that callers
/// who were refused together do not return together.
constexpr double kPauseBegin = 0.2;
constexpr double kPauseSpread = 0.3;
constexpr std::chrono::milliseconds kMinPause{ 50 };

double
UnitOf(std::uint64_t aHash)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  return static_cast<double>(aHash >> 11U) * kScale;
}

std::chrono::milliseconds
PauseFor(const EntryRequest& aRequest, double aUnit)
{
  const double objective =
    static_cast<double>(aRequest.mLatencyObjective.count());
  const std::chrono::milliseconds pause(static_cast<std::int64_t>(
    objective * (kPauseBegin + kPauseSpread * aUnit)));
  return std::max(kMinPause, pause);
}

} // namespace

EntryAdmission::EntryAdmission(const RouteCosts& aCosts,
                               const ServiceLoads& aLoads)
  : mCosts(aCosts)
  , mLoads(aLoads)
{
}

ShedLevel&
EntryAdmission::LevelOf(std::string_view aService)
{
  auto found = mLevels.find(aService);
  if (found == mLevels.end()) {
    found = mLevels.emplace(aService, ShedLevel{}).first;
  }
  return found->second;
}

void
EntryAdmission::Tick(core::TimePoint aNow)
{
  for (const LoadReport& report :
       mLoads.Reports(aNow, kMinLoad, kMaxFollowed)) {
    LevelOf(report.mService);
  }
  for (auto it = mLevels.begin(); it != mLevels.end();) {
    const auto load = mLoads.Load(aNow, it->first);
    if (!load) {
      // Nothing is known about the service any more, so nothing is shed for it.
      it = mLevels.erase(it);
      continue;
    }
    it->second.Update(aNow, *load);
    ++it;
  }
}

EntryDecision
EntryAdmission::Decide(core::TimePoint aNow, const EntryRequest& aRequest)
{
  EntryDecision decision;
  const RouteCost* cost = mCosts.Find(aRequest.mRoute);
  const double unit = UnitOf(aRequest.mHash);
  const double draw = aRequest.mRefusedBefore ? unit * kReturnedDraw : unit;
  for (auto& [service, level] : mLevels) {
    double seconds = cost == nullptr ? 0 : cost->At(service);
    if (seconds == 0 && (cost == nullptr || !cost->mComplete)) {
      seconds = kUnknownCost;
    }
    if (seconds == 0) {
      continue;
    }
    level.OnDemand(aNow, aRequest.mPriority, seconds);
    const double admitted = level.Admitted(aRequest.mPriority);
    if (draw >= admitted && decision.mAdmitted) {
      decision.mAdmitted = false;
      decision.mService = service;
      decision.mLoad = level.Load();
      decision.mShare = level.Share();
      decision.mRetryAfter = PauseFor(aRequest, unit);
    }
  }
  return decision;
}

} // namespace nutmegrock::overload
