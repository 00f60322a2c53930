#include "overload/RouteCosts.h"

#include <algorithm>

namespace nutmegrock::overload {

namespace {

/// Weight of a new report against what was known.
constexpr double kNewWeight = 0.2;

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
SortAndCut(std::vector<ServiceCost>& aCosts)
{
  std::sort(aCosts.begin(),
            aCosts.end(),
            [](const ServiceCost& aLeft, const ServiceCost& aRight) {
              return aLeft.mSlotSeconds > aRight.mSlotSeconds;
            });
  if (aCosts.size() > kMostServices) {
    aCosts.resize(kMostServices);
  }
}

} // namespace

double
RouteCost::At(std::string_view aService) const
{
  for (const ServiceCost& cost : mServices) {
    if (cost.mService == aService) {
      return cost.mSlotSeconds;
    }
  }
  return 0;
}

void
RouteCosts::Learn(std::string_view aRoute, const RouteCost& aCost)
{
  const auto found = mCosts.find(aRoute);
  if (found == mCosts.end()) {
    if (mCosts.size() < kMostRoutes) {
      mCosts.emplace(aRoute, aCost);
    }
    return;
  }
  RouteCost mixed;
  mixed.mComplete = aCost.mComplete;
  mixed.mInternal = aCost.mInternal;
  for (const ServiceCost& cost : found->second.mServices) {
    Add(mixed.mServices, cost.mService, cost.mSlotSeconds * (1 - kNewWeight));
  }
  for (const ServiceCost& cost : aCost.mServices) {
    // The first report of a service counts in full.
    const bool known = found->second.At(cost.mService) > 0;
    Add(mixed.mServices,
        cost.mService,
        cost.mSlotSeconds * (known ? kNewWeight : 1));
  }
  SortAndCut(mixed.mServices);
  found->second = std::move(mixed);
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
    cost.mComplete = cost.mComplete && below->mComplete;
    for (const ServiceCost& part : below->mServices) {
      Add(cost.mServices, part.mService, part.mSlotSeconds * call.mPerRun);
    }
  }
  SortAndCut(cost.mServices);
  return cost;
}

} // namespace nutmegrock::overload
