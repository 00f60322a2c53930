#include "overload/EntryAdmission.h"

#include <algorithm>

namespace nutmegrock::overload {

namespace {

/// Assumed cost at an overloaded service, in slot seconds, of a route whose
/// calls are not known yet. Until they are, only the priority decides.
constexpr double kUnknownCost = 0.05;
/// Minimum load of a tracked service; below it shedding is far off.
constexpr double kMinLoad = 0.3;
/// Maximum number of load reports to consider, heaviest services first: several
/// services in the 25 availability zones of the design.
constexpr std::size_t kMaxTrackedLoads = 256;
/// Factor on the draw of a caller that was refused before, so that it is
/// admitted before a new one of the same kind.
constexpr double kRefusedBeforeFactor = 0.5;
/// Retry delay of a refused caller, as a share of the latency objective, so
/// that the response to the retry can still have its full benefit. Jitter keeps
/// callers that were refused together from retrying together.
constexpr double kMinDelayShare = 0.2;
constexpr double kDelayJitter = 0.3;
constexpr std::chrono::milliseconds kMinRetryDelay{ 50 };

double
ToUnitInterval(std::uint64_t aHash)
{
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  return static_cast<double>(aHash >> 11U) * kScale;
}

std::chrono::milliseconds
RetryDelay(const EntryRequest& aRequest, double aUnit)
{
  const double objective =
    static_cast<double>(aRequest.mLatencyObjective.count());
  const std::chrono::milliseconds delay(static_cast<std::int64_t>(
    objective * (kMinDelayShare + kDelayJitter * aUnit)));
  return std::max(kMinRetryDelay, delay);
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
       mLoads.Reports(aNow, kMinLoad, kMaxTrackedLoads)) {
    LevelOf(report.mService);
  }
  for (auto it = mLevels.begin(); it != mLevels.end();) {
    const auto load = mLoads.Load(aNow, it->first);
    if (!load) {
      // Without a fresh load of the service nothing is shed for it.
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
  const double unit = ToUnitInterval(aRequest.mHash);
  const double draw =
    aRequest.mRefusedBefore ? unit * kRefusedBeforeFactor : unit;
  for (auto& [service, level] : mLevels) {
    double seconds = cost == nullptr ? 0 : cost->SlotSecondsAt(service);
    const bool assumed = seconds == 0 && (cost == nullptr || !cost->mComplete);
    if (assumed) {
      seconds = kUnknownCost;
    }
    if (seconds == 0) {
      continue;
    }
    level.OnDemand(aNow,
                   aRequest.mPriority,
                   seconds,
                   cost == nullptr ? core::Duration(0)
                                   : cost->SpreadAt(service));
    const double admitted = level.Admitted(aRequest.mPriority);
    if (draw >= admitted && decision.mAdmitted) {
      decision.mAdmitted = false;
      decision.mService = service;
      decision.mLoad = level.Load();
      decision.mShare = level.Share();
      decision.mSlotSeconds = seconds;
      decision.mCostAssumed = assumed;
      decision.mRetryAfter = RetryDelay(aRequest, unit);
    }
  }
  return decision;
}

} // namespace nutmegrock::overload
