#pragma once

#include "core/Time.h"
#include "overload/CallGraph.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

/// Time for which one request holds a slot of a service, at all levels of calls
/// together.
struct ServiceCost
{
  std::string mService;
  /// Seconds.
  double mSlotSeconds = 0;

  bool operator==(const ServiceCost&) const = default;
};

/// What a request of a route costs at all services that it leads to.
struct RouteCost
{
  /// Dearest first, at most kMaxServices.
  std::vector<ServiceCost> mServices;
  /// Whether the calls at every level are known, so that a service that is not
  /// listed is not used.
  bool mComplete = false;
  /// Whether backend servers call the route; nothing while it is not known.
  std::optional<bool> mInternal;

  /// Cost at the service in slot seconds; 0 when it is not listed.
  double At(std::string_view aService) const;
  bool operator==(const RouteCost&) const = default;
};

/// Services listed for one route; those that cost least are left out.
constexpr std::size_t kMaxServices = 12;

/// Costs of routes as learned from answers: each answer brings the cost that
/// its serving node knows, which that node has put together from its own time
/// and the costs of the calls that its backend server makes. So the whole graph
/// is learned without any message of its own. Not synchronized.
class RouteCosts
{
public:
  /// An answer for the route brought this cost.
  void Learn(std::string_view aRoute, const RouteCost& aCost);
  /// Takes over costs that were saved; what has been learned since goes first.
  void Restore(const std::map<std::string, RouteCost, std::less<>>& aCosts);
  /// Whether the next request of the route should ask its serving node for the
  /// cost: it is not known well, and was not asked for just now.
  bool ShouldRequest(core::TimePoint aNow, std::string_view aRoute);
  /// The cost of a route; null when no answer has brought one.
  const RouteCost* Find(std::string_view aRoute) const;
  /// Cost of a route that runs at this node's server: aOwnSeconds at its own
  /// service and that of its calls.
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
  /// Routes that are remembered; more are not learned.
  static constexpr std::size_t kMaxRoutes = 1024;

  std::map<std::string, RouteCost, std::less<>> mCosts;
  std::map<std::string, core::TimePoint, std::less<>> mAskedAt;
};

} // namespace nutmegrock::overload
