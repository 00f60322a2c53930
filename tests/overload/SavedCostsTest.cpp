#include "overload/SavedCosts.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

RouteCost
Cost(double aDispatch, bool aComplete = true)
{
  return { { { "dispatch", aDispatch } }, aComplete, false };
}

} // namespace

TEST_CASE("costs are saved when they are known and again when they change")
{
  SavedCosts saved;
  CHECK(!saved.IsDue(kStart, {}));
  CHECK(!saved.IsDue(kStart, { { "check", Cost(0.3, false) } }));
  RouteCost unclassified = Cost(0.3);
  unclassified.mInternal.reset();
  CHECK(!saved.IsDue(kStart, { { "check", unclassified } }));
  CHECK(saved.IsDue(kStart, { { "check", Cost(0.3) } }));

  saved.OnSaved(kStart, { { "check", Cost(0.3) } });
  const core::TimePoint later = kStart + std::chrono::seconds(20);
  CHECK(!saved.IsDue(later, { { "check", Cost(0.36) } }));
  CHECK(saved.IsDue(later, { { "check", Cost(0.6) } }));
  CHECK(saved.IsDue(later, { { "check", Cost(0.3) }, { "pay", Cost(0.1) } }));
  RouteCost nested = Cost(0.3);
  nested.mInternal = true;
  CHECK(saved.IsDue(later, { { "check", nested } }));
  // A service that the route no longer uses is a change as well.
  CHECK(saved.IsDue(later, { { "check", { {}, true, false } } }));
}

// Failure: the store loses what was written. Guards against a row that stays
// missing until a cost changes.
TEST_CASE("costs that the store may have lost are saved again")
{
  SavedCosts saved;
  saved.OnSaved(
    kStart, { { "check", Cost(0.3) } }, { { "check", "dispatch" } });
  saved.OnLost();
  const core::TimePoint later = kStart + std::chrono::seconds(20);
  CHECK(saved.IsDue(later, { { "check", Cost(0.3) } }));
  CHECK(saved.IsDue(later, {}, { { "check", "dispatch" } }));
  // Nothing is known that could be saved.
  CHECK(!saved.IsDue(later, {}));
}

TEST_CASE("a service that runs of a route call is saved when it changes")
{
  SavedCosts saved;
  CHECK(saved.IsDue(kStart, {}, { { "check", "tracker" } }));
  saved.OnSaved(kStart, {}, { { "check", "tracker" }, { "pay", "till" } });
  const core::TimePoint later = kStart + std::chrono::seconds(20);
  CHECK(saved.IsDue(later, {}, { { "check", "dispatch" } }));
  // A node that has just started knows only some.
  CHECK(!saved.IsDue(later, {}, { { "check", "tracker" } }));
}

// A write per response would be too expensive: store calls are billed.
TEST_CASE("changing costs are written at intervals")
{
  SavedCosts saved;
  int writes = 0;
  for (int ms = 0; ms < 30'000; ms += 20) {
    const core::TimePoint now = kStart + milliseconds(ms);
    const SavedCosts::Costs costs = { { "check", Cost(ms % 40 ? 0.9 : 0.1) } };
    if (saved.IsDue(now, costs)) {
      saved.OnSaved(now, costs);
      ++writes;
    }
  }
  CHECK(writes <= 11);
}

// A server that has just started does not know its calls yet. Its reports must
// not cause uploads to be shed for a service that they do not use, nor let
// checks pass that call an overloaded one.
TEST_CASE("an incomplete cost does not replace a complete one")
{
  RouteCosts costs;
  costs.Learn("check", Cost(0.3));
  costs.Learn("check", { { { "tracker", 0.1 } }, false, std::nullopt });
  REQUIRE(costs.Find("check") != nullptr);
  CHECK(*costs.Find("check") == Cost(0.3));
  // The information that servers call the route is still taken over.
  costs.Learn("check", { { { "tracker", 0.1 } }, false, true });
  CHECK(costs.Find("check")->mInternal == true);
  CHECK(costs.Find("check")->mComplete);
}

TEST_CASE("saved costs replace only incomplete ones")
{
  RouteCosts costs;
  costs.Learn("check", { { { "tracker", 0.1 } }, false, std::nullopt });
  costs.Learn("pay", Cost(0.2));
  costs.Restore({ { "check", Cost(0.3) }, { "pay", Cost(0.9) } });
  CHECK(*costs.Find("check") == Cost(0.3));
  CHECK(*costs.Find("pay") == Cost(0.2));
}

TEST_CASE("a cost is requested at intervals until it is known")
{
  RouteCosts costs;
  CHECK(costs.ShouldRequest(kStart, "check"));
  CHECK(!costs.ShouldRequest(kStart + milliseconds(1), "check"));
  CHECK(costs.ShouldRequest(kStart + milliseconds(1), "pay"));
  CHECK(costs.ShouldRequest(kStart + milliseconds(100), "check"));
  costs.Learn("check", Cost(0.3));
  CHECK(!costs.ShouldRequest(kStart + milliseconds(200), "check"));
}
