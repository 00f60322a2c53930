#include "overload/PriorityOrder.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace nutmegrock::overload;

// Guards against a change of ranks where tenants have no priorities.
TEST_CASE("without differing tenants the rank is that of the route")
{
  for (const PriorityOrder& order :
       { PriorityOrder({}, { 0, 2 }), PriorityOrder({ 3, 3 }, { 0, 2 }) }) {
    for (const std::uint32_t tenant : { 0U, 3U }) {
      CHECK(order.Rank(tenant, 0, 0.25) == 0.25);
      CHECK(order.Rank(tenant, 2, 0.5) == 2.5);
      CHECK(order.Rank(tenant, 99, 0.5) == 7.5);
    }
    CHECK(order.OpenRank() == 3);
  }
  CHECK(PriorityOrder({}, { 4'000'000'000 }).OpenRank() == kOpenRank);
  CHECK(PriorityOrder().OpenRank() == 1);
}

// Guards against the important route of an unimportant tenant going before a
// request of an important tenant.
TEST_CASE("the tenant's priority goes before that of the route")
{
  struct Case
  {
    std::vector<std::uint32_t> mTenants;
    std::vector<std::uint32_t> mRoutes;
  };
  const Case cases[] = {
    { { 5, 0 }, { 0 } },
    { { 0, 1, 2 }, { 2, 0 } },
    { { 0, 3, 9 }, { 0, 1, 2, 3 } },
    { { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 }, { 0, 1, 2, 3 } },
    { { 1, 4'294'967'295 }, {} },
  };
  for (const Case& entry : cases) {
    const PriorityOrder order(entry.mTenants, entry.mRoutes);
    auto tenants = entry.mTenants;
    auto routes = entry.mRoutes;
    std::sort(tenants.begin(), tenants.end());
    std::sort(routes.begin(), routes.end());
    if (routes.empty()) {
      routes = { 0 };
    }
    double last = 0;
    for (const std::uint32_t tenant : tenants) {
      for (const std::uint32_t route : routes) {
        CAPTURE(tenant);
        CAPTURE(route);
        CHECK(order.Rank(tenant, route, 0) >= last);
        last = order.Rank(tenant, route, 0.999);
        CHECK(last > order.Rank(tenant, route, 0));
      }
    }
    CHECK(last < order.OpenRank());
    CHECK(order.OpenRank() <= kOpenRank);
  }
}

TEST_CASE("priorities that no tenant or route has any more keep the order")
{
  const PriorityOrder order({ 1, 3 }, { 0, 2 });
  CHECK(order.Rank(0, 0, 0) == order.Rank(1, 0, 0));
  CHECK(order.Rank(2, 0, 0) == order.Rank(3, 0, 0));
  CHECK(order.Rank(9, 9, 0.5) < order.OpenRank());
}
