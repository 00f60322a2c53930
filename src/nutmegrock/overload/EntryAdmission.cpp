#include "overload/EntryAdmission.h"

#include <algorithm>

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

EntryDecision
EntryAdmission::Decide(const EntryRequest& aRequest) const
{
  EntryDecision decision;
  decision.mRank =
    aRequest.mRank.value_or(RankOf(aRequest.mPriority, aRequest.mHash));
  const RouteCost* cost = mCosts.Find(aRequest.mRoute);
  if (cost == nullptr) {
    return decision;
  }
  for (const auto& [name, mean] : mCutoffs) {
    const double cutoff = CutoffIn(aRequest.mZone, name, mean);
    const auto [service, caller] = ServicesOfName(name);
    const bool leads_to = cost->SlotSecondsAt(service) > 0 &&
                          (caller.empty() || cost->SlotSecondsAt(caller) > 0);
    if (leads_to && cutoff < decision.mCutoff) {
      decision.mService = name;
      decision.mCutoff = cutoff;
    }
  }
  decision.mAdmitted = decision.mRank <= decision.mCutoff + kMargin;
  if (decision.mAdmitted) {
    decision.mService.clear();
    return decision;
  }
  decision.mRetryAfter = RetryDelay(aRequest.mLatencyObjective, aRequest.mHash);
  return decision;
}

} // namespace nutmegrock::overload
