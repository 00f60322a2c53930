#pragma once

#include "routes/Route.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegrock::routes {

/// Distributes the requests of split routes over their services in proportion
/// to the weights, by smooth weighted round robin (as in nginx). After any
/// number of requests each service is within one request of its share, without
/// randomness. Not thread-safe.
class SplitPicker
{
public:
  /// aOffset sets where a cycle starts. It differs between nodes, so that nodes
  /// with few requests do not all start with the same service.
  explicit SplitPicker(std::uint64_t aOffset);

  /// Returns the service for the next request of the route.
  const std::string& Pick(const Route& aRoute);
  /// Drops the state of all routes, including removed ones; call it when a new
  /// version is in force.
  void Clear() { mStates.clear(); }

private:
  struct State
  {
    std::vector<RouteTarget> mTargets;
    std::vector<std::int64_t> mCurrentWeights;
  };

  std::size_t PickNext(State& aState);

  const std::uint64_t mOffset;
  std::unordered_map<std::string, State> mStates;
};

} // namespace nutmegrock::routes
