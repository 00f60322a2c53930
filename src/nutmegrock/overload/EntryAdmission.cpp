#include "overload/EntryAdmission.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::overload {

namespace {

/// Ranks above the cutoff that are admitted, in priorities.
constexpr double kMargin = 0.1;
/// Retry delay of a refused caller, as a share of the latency objective, so
/// that the response to the retry can still have its full benefit. Jitter keeps
/// callers that were refused together from retrying together.
constexpr double kMinDelayShare = 0.2;
constexpr double kDelayJitter = 0.3;
constexpr std::chrono::milliseconds kMinRetryDelay{ 50 };

} // namespace

std::chrono::milliseconds
RetryDelay(std::chrono::milliseconds aLatencyObjective, std::uint64_t aHash)
{
  const double objective = static_cast<double>(aLatencyObjective.count());
  const std::chrono::milliseconds delay(static_cast<std::int64_t>(
    objective * (kMinDelayShare + kDelayJitter * RankOf(0, aHash))));
  return std::max(kMinRetryDelay, delay);
}

EntryAdmission::EntryAdmission(const RouteCosts& aCosts,
                               const ServiceLoads& aLoads)
  : mCosts(aCosts)
  , mLoads(aLoads)
{
}

void
EntryAdmission::Tick(core::TimePoint aNow)
{
  mCutoffs = mLoads.Cutoffs(aNow);
  mZoneCutoffs.clear();
  for (const auto& [name, mean] : mCutoffs) {
    mZoneCutoffs.emplace(name, mLoads.ZoneCutoffs(aNow, name));
  }
}

double
EntryAdmission::CutoffIn(std::string_view aZone,
                         const std::string& aName,
                         double aMean) const
{
  const Cutoffs& zones = mZoneCutoffs.at(aName);
  const auto found = zones.find(aZone);
  return found == zones.end() ? aMean : found->second;
}

ScarceService
EntryAdmission::FindScarce(std::string_view aRoute,
                           std::string_view aZone) const
{
  ScarceService scarce;
  const RouteCost* cost = mCutoffs.empty() ? nullptr : mCosts.Find(aRoute);
  if (cost == nullptr) {
    return scarce;
  }
  for (const auto& [name, mean] : mCutoffs) {
    const double cutoff = CutoffIn(aZone, name, mean);
    const auto [service, caller] = ServicesOfName(name);
    const double seconds = cost->SlotSecondsAt(service);
    const bool leads_to =
      seconds > 0 && (caller.empty() || cost->SlotSecondsAt(caller) > 0);
    if (leads_to && cutoff < scarce.mCutoff) {
      scarce = { name, cutoff, seconds };
    }
  }
  return scarce;
}

EntryDecision
EntryAdmission::Decide(const EntryRequest& aRequest) const
{
  EntryDecision decision;
  decision.mRank =
    aRequest.mRank.value_or(RankOf(aRequest.mPriority, aRequest.mHash));
  ScarceService scarce = FindScarce(aRequest.mRoute, aRequest.mZone);
  decision.mService = std::move(scarce.mName);
  decision.mCutoff = scarce.mCutoff;
  decision.mAdmitted = decision.mRank <= decision.mCutoff + kMargin;
  if (decision.mAdmitted) {
    decision.mService.clear();
    return decision;
  }
  decision.mRetryAfter = RetryDelay(aRequest.mLatencyObjective, aRequest.mHash);
  return decision;
}

} // namespace nutmegrock::overload
