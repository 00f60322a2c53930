#pragma once

#include "overload/RequestChain.h"

#include <cstdint>
#include <vector>

namespace nutmegrock::overload {

/// Ranks of requests by the priority of their tenant, then by that of their
/// route. While the priorities of tenants do not differ, the priority of the
/// route is the integer part of the rank. Otherwise each pair of priorities has
/// a range of its own, in this order; the ranges are narrower than 1 if there
/// are more than kPriorities pairs. Immutable.
class PriorityOrder
{
public:
  /// The order without tenants and routes.
  PriorityOrder() = default;
  /// The order for the priorities that tenants and routes have.
  PriorityOrder(std::vector<std::uint32_t> aTenants,
                std::vector<std::uint32_t> aRoutes);

  /// Rank of a request. aPart in [0, 1) orders the requests of equal
  /// priorities.
  double Rank(std::uint32_t aTenant, std::uint32_t aRoute, double aPart) const;
  /// The lowest rank above that of all requests.
  double OpenRank() const;

  bool operator==(const PriorityOrder&) const = default;

private:
  /// Both in ascending order.
  std::vector<std::uint32_t> mTenants;
  std::vector<std::uint32_t> mRoutes;
};

} // namespace nutmegrock::overload
