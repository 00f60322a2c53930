#include "overload/CallerShares.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Calls after which a route is judged.
constexpr double kMinCalls = 30;
/// A service with a smaller share of the calls does not count as a caller: test
/// requests come from everywhere.
constexpr double kMinShare = 0.03;
/// A route with calls from more than this part of the services is used from
/// outside.
constexpr double kInternalPart = 0.5;
/// Counts are halved at this interval, so that a route that changes its users
/// is judged anew.
constexpr std::chrono::seconds kHalveEvery{ 10 };

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
  if (aNow - route.mDecayedAt > kHalveEvery) {
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
         kInternalPart * static_cast<double>(aServices);
}

} // namespace nutmegrock::overload
