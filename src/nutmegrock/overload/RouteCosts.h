#pragma once

#include "core/Time.h"
#include "overload/CallGraph.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

/// Time for which one request holds slots of a service, summed over all levels
/// of nested calls.
struct ServiceCost
{
  std::string mService;
  /// In seconds.
  double mSlotSeconds = 0;

  bool operator==(const ServiceCost&) const = default;
};

/// Cost of a request of a route at each service that it leads to.
struct RouteCost
{
  /// Highest cost first, at most kMaxServices.
  std::vector<ServiceCost> mServices;
  /// True if the calls at every level are known; services that are not listed
  /// are then not used.
  bool mComplete = false;
  /// True if backend servers call the route; nullopt while unknown.
  std::optional<bool> mInternal;

  /// Cost at the service in slot seconds; 0 if it is not listed.
  double SlotSecondsAt(std::string_view aService) const;
  /// Time after its admission over which the calls of a request reach the
  /// service: zero for the service that runs it first, which holds a slot
  /// longest, and otherwise the time for which that one runs it.
  core::Duration SpreadAt(std::string_view aService) const;
  bool operator==(const RouteCost&) const = default;
};

/// Maximum number of services listed per route; those with the lowest cost are
/// left out.
constexpr std::size_t kMaxServices = 12;

/// Costs of routes, learned from responses. A response carries the cost that
/// its serving node has composed of its own service time and the costs of the
/// calls that its backend server makes, so the costs of the whole call graph
/// propagate without extra messages. Not synchronized.
class RouteCosts
{
public:
  /// Merges a cost received with a response for the route.
  void Learn(std::string_view aRoute, const RouteCost& aCost);
  /// Merges saved costs; costs learned since take precedence.
  void Restore(const std::map<std::string, RouteCost, std::less<>>& aCosts);
  /// Returns true if the next request of the route should request the cost from
  /// its serving node: the known cost is incomplete, and it was not requested
  /// just before. Records the request.
  bool ShouldRequest(core::TimePoint aNow, std::string_view aRoute);
  /// The cost of a route; null if unknown.
  const RouteCost* Find(std::string_view aRoute) const;
  /// Cost of a route that runs at the local backend server: aOwnSeconds at its
  /// own service plus the costs of its calls.
  RouteCost Compose(std::string_view aRoute,
                    std::string_view aService,
                    double aOwnSeconds,
                    const CallGraph& aGraph) const;
  /// All known routes.
  const std::map<std::string, RouteCost, std::less<>>& All() const
  {
    return mCosts;
  }

private:
  /// Maximum number of known routes; further ones are ignored.
  static constexpr std::size_t kMaxRoutes = 1024;

  std::map<std::string, RouteCost, std::less<>> mCosts;
  std::map<std::string, core::TimePoint, std::less<>> mRequestedAt;
};

} // namespace nutmegrock::overload
