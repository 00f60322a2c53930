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
  RouteCost unjudged = Cost(0.3);
  unjudged.mInternal.reset();
  CHECK(!saved.IsDue(kStart, { { "check", unjudged } }));
  CHECK(saved.IsDue(kStart, { { "check", Cost(0.3) } }));

  saved.OnSaved(kStart, { { "check", Cost(0.3) } });
  const core::TimePoint later = kStart + std::chrono::seconds(20);
  CHECK(!saved.IsDue(later, { { "check", Cost(0.36) } }));
  CHECK(saved.IsDue(later, { { "check", Cost(0.6) } }));
  CHECK(saved.IsDue(later, { { "check", Cost(0.3) }, { "pay", Cost(0.1) } }));
  RouteCost nested = Cost(0.3);
  nested.mInternal = true;
  CHECK(saved.IsDue(later, { { "check", nested } }));
  // A service that the route no longer leads to is a change as well.
  CHECK(saved.IsDue(later, { { "check", { {}, true, false } } }));
}

// Guards against a write with each answer: store calls are paid for.
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

// Failure: a server that has just started does not know its calls yet. Guards
// against uploads being shed for a service that they do not use, and against
// checks passing for calls of other servers.
TEST_CASE("a report of a fresh server does not replace what is known")
{
  RouteCosts costs;
  costs.Learn("check", Cost(0.3));
  costs.Learn("check", { { { "tracker", 0.1 } }, false, std::nullopt });
  REQUIRE(costs.Find("check") != nullptr);
  CHECK(*costs.Find("check") == Cost(0.3));
  // Whether servers call the route is learned from it all the same.
  costs.Learn("check", { { { "tracker", 0.1 } }, false, true });
  CHECK(costs.Find("check")->mInternal == true);
  CHECK(costs.Find("check")->mComplete);
}

TEST_CASE("saved costs fill in what is not known")
{
  RouteCosts costs;
  costs.Learn("check", { { { "tracker", 0.1 } }, false, std::nullopt });
  costs.Learn("pay", Cost(0.2));
  costs.Restore({ { "check", Cost(0.3) }, { "pay", Cost(0.9) } });
  CHECK(*costs.Find("check") == Cost(0.3));
  CHECK(*costs.Find("pay") == Cost(0.2));
}

TEST_CASE("a cost is asked for until it is known, at intervals")
{
  RouteCosts costs;
  CHECK(costs.ShouldRequest(kStart, "check"));
  CHECK(!costs.ShouldRequest(kStart + milliseconds(1), "check"));
  CHECK(costs.ShouldRequest(kStart + milliseconds(1), "pay"));
  CHECK(costs.ShouldRequest(kStart + milliseconds(100), "check"));
  costs.Learn("check", Cost(0.3));
  CHECK(!costs.ShouldRequest(kStart + milliseconds(200), "check"));
}
