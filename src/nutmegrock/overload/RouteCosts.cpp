#include "overload/RouteCosts.h"

#include <algorithm>

namespace nutmegrock::overload {

namespace {

/// Weight of a new report in the moving average.
constexpr double kNewWeight = 0.2;
/// Minimum time between two requests for the cost of a route whose known cost
/// is incomplete.
constexpr std::chrono::milliseconds kRequestInterval{ 30 };

void
Add(std::vector<ServiceCost>& aCosts,
    std::string_view aService,
    double aSeconds)
{
  for (ServiceCost& cost : aCosts) {
    if (cost.mService == aService) {
      cost.mSlotSeconds += aSeconds;
      return;
    }
  }
  aCosts.push_back({ std::string(aService), aSeconds });
}

void
SortAndTruncate(std::vector<ServiceCost>& aCosts)
{
  std::sort(aCosts.begin(),
            aCosts.end(),
            [](const ServiceCost& aLeft, const ServiceCost& aRight) {
              return aLeft.mSlotSeconds > aRight.mSlotSeconds;
            });
  if (aCosts.size() > kMaxServices) {
    aCosts.resize(kMaxServices);
  }
}

} // namespace

double
RouteCost::SlotSecondsAt(std::string_view aService) const
{
  for (const ServiceCost& cost : mServices) {
    if (cost.mService == aService) {
      return cost.mSlotSeconds;
    }
  }
  return 0;
}

core::Duration
RouteCost::SpreadAt(std::string_view aService) const
{
  if (mServices.empty() || mServices.front().mService == aService) {
    return core::Duration(0);
  }
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(mServices.front().mSlotSeconds));
}

void
RouteCosts::Learn(std::string_view aRoute, const RouteCost& aCost)
{
  const auto found = mCosts.find(aRoute);
  if (found == mCosts.end()) {
    if (mCosts.size() < kMaxRoutes) {
      mCosts.emplace(aRoute, aCost);
    }
    return;
  }
  // A server that has just started does not know its calls yet, so its
  // incomplete report does not replace a complete one.
  const std::optional<bool> internal =
    aCost.mInternal ? aCost.mInternal : found->second.mInternal;
  if (found->second.mComplete && !aCost.mComplete) {
    found->second.mInternal = internal;
    return;
  }
  RouteCost mixed;
  mixed.mComplete = aCost.mComplete;
  mixed.mInternal = internal;
  for (const ServiceCost& cost : found->second.mServices) {
    Add(mixed.mServices, cost.mService, cost.mSlotSeconds * (1 - kNewWeight));
  }
  for (const ServiceCost& cost : aCost.mServices) {
    // The first report of a service has full weight.
    const bool known = found->second.SlotSecondsAt(cost.mService) > 0;
    Add(mixed.mServices,
        cost.mService,
        cost.mSlotSeconds * (known ? kNewWeight : 1));
  }
  SortAndTruncate(mixed.mServices);
  found->second = std::move(mixed);
}

void
RouteCosts::Restore(const std::map<std::string, RouteCost, std::less<>>& aCosts)
{
  for (const auto& [route, cost] : aCosts) {
    const RouteCost* known = Find(route);
    if (known == nullptr) {
      Learn(route, cost);
    } else if (!known->mComplete || !known->mInternal) {
      RouteCost merged = known->mComplete ? *known : cost;
      merged.mInternal = known->mInternal ? known->mInternal : cost.mInternal;
      mCosts.insert_or_assign(route, std::move(merged));
    }
  }
}

bool
RouteCosts::ShouldRequest(core::TimePoint aNow, std::string_view aRoute)
{
  const RouteCost* known = Find(aRoute);
  if (known != nullptr && known->mComplete && known->mInternal) {
    return false;
  }
  if (mRequestedAt.size() > kMaxRoutes) {
    mRequestedAt.clear();
  }
  core::TimePoint& requested = mRequestedAt[std::string(aRoute)];
  if (requested != core::TimePoint{} && aNow - requested < kRequestInterval) {
    return false;
  }
  requested = aNow;
  return true;
}

const RouteCost*
RouteCosts::Find(std::string_view aRoute) const
{
  const auto found = mCosts.find(aRoute);
  return found == mCosts.end() ? nullptr : &found->second;
}

RouteCost
RouteCosts::Compose(std::string_view aRoute,
                    std::string_view aService,
                    double aOwnSeconds,
                    const CallGraph& aGraph) const
{
  RouteCost cost;
  cost.mComplete = aGraph.IsKnown(aRoute);
  Add(cost.mServices, aService, aOwnSeconds);
  for (const CallRatio& call : aGraph.CallsOf(aRoute)) {
    const RouteCost* below = Find(call.mRoute);
    if (below == nullptr) {
      cost.mComplete = false;
      continue;
    }
    // While a route is unknown, requests of callers are counted as calls.
    if (below->mInternal == false) {
      continue;
    }
    cost.mComplete = cost.mComplete && below->mComplete;
    for (const ServiceCost& part : below->mServices) {
      Add(cost.mServices, part.mService, part.mSlotSeconds * call.mPerRun);
    }
  }
  SortAndTruncate(cost.mServices);
  return cost;
}

} // namespace nutmegrock::overload
