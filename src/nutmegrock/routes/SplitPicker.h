#pragma once

#include "routes/Route.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::routes {

/// Deals the requests of split routes to their services in the proportions of
/// the weights, by smooth weighted round robin (as in nginx): after any number
/// of requests each service is within one request of its share, so that the
/// shares hold without chance. Not synchronized.
class SplitPicker
{
public:
  /// aOffset, different on each node, decides where a cycle starts, so that
  /// nodes with few requests do not all begin with the same service.
  explicit SplitPicker(std::uint64_t aOffset);

  /// The service for the next request of the route.
  const std::string& Pick(const Route& aRoute);
  /// Forgets the routes that are gone; call it when a new version is in force.
  void Clear() { mStates.clear(); }

private:
  struct State
  {
    std::vector<RouteTarget> mTargets;
    std::vector<std::int64_t> mCredits;
  };

  std::size_t Deal(State& aState);

  const std::uint64_t mOffset;
  std::unordered_map<std::string, State> mStates;
};

} // namespace nutmegrock::routes
