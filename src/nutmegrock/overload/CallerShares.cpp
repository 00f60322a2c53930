#include "overload/CallerShares.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Minimum calls before a route is classified.
constexpr double kMinCalls = 30;
/// A service with a smaller share of the calls does not count as a caller: test
/// requests enter at every service.
constexpr double kMinShare = 0.03;
/// Maximum share of the services that call an internal route; with more it is
/// used by external callers.
constexpr double kMaxInternalShare = 0.5;
/// Counts are halved at this interval, so that the classification follows a
/// change of the callers.
constexpr std::chrono::seconds kHalvingInterval{ 10 };

} // namespace

void
CallerShares::OnCall(core::TimePoint aNow,
                     std::string_view aRoute,
                     std::string_view aCallerService)
{
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      return;
    }
    found = mRoutes.emplace(aRoute, Route{}).first;
    found->second.mDecayedAt = aNow;
  }
  Route& route = found->second;
  if (aNow - route.mDecayedAt > kHalvingInterval) {
    route.mDecayedAt = aNow;
    route.mTotal /= 2;
    for (auto& [service, count] : route.mCallers) {
      count /= 2;
    }
  }
  route.mTotal += 1;
  auto caller = route.mCallers.find(aCallerService);
  if (caller == route.mCallers.end()) {
    caller = route.mCallers.emplace(aCallerService, 0.0).first;
  }
  caller->second += 1;
}

std::optional<bool>
CallerShares::IsInternal(std::string_view aRoute, std::size_t aServices) const
{
  const auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end() || found->second.mTotal < kMinCalls) {
    return std::nullopt;
  }
  const Route& route = found->second;
  const auto callers =
    std::count_if(route.mCallers.begin(),
                  route.mCallers.end(),
                  [&route](const auto& aCaller) {
                    return aCaller.second >= kMinShare * route.mTotal;
                  });
  return static_cast<double>(callers) <=
         kMaxInternalShare * static_cast<double>(aServices);
}

} // namespace nutmegrock::overload
