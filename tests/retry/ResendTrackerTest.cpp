#include "retry/ResendTracker.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kNow{ 1h };

} // namespace

TEST_SUITE("retry/ResendLedger")
{
  // A caller that sends the same request again must not get a new budget.
  TEST_CASE("all arrivals of a request share one budget")
  {
    auto ledger = *retry::ResendTracker::Create({});
    const auto request = core::RequestId::FromBits(1, 1);
    const auto first = ledger->OnArrival(kNow, request, 2);
    REQUIRE(first.has_value());
    CHECK(*first == 2);
    ledger->OnEnd(request, 1);
    const auto second = ledger->OnArrival(kNow + 1s, request, 2);
    REQUIRE(second.has_value());
    CHECK(*second == 0);
    ledger->OnEnd(request, 0);
    const auto third = ledger->OnArrival(kNow + 2s, request, 2);
    REQUIRE_FALSE(third.has_value());
    CHECK(third.error().mKind == core::ErrorKind::RetryBudgetSpent);
    CHECK(third.error().mRetryAfter == 28s);
    CHECK(ledger->OnArrival(kNow + 31s, request, 2).has_value());
  }

  // While the first arrival is under way it holds the whole budget.
  TEST_CASE("a copy of a request in flight finds no budget")
  {
    auto ledger = *retry::ResendTracker::Create({});
    const auto request = core::RequestId::FromBits(1, 2);
    CHECK(ledger->OnArrival(kNow, request, 2).has_value());
    CHECK_FALSE(ledger->OnArrival(kNow, request, 2).has_value());
  }

  TEST_CASE("an arrival refused before any attempt costs nothing")
  {
    auto ledger = *retry::ResendTracker::Create({});
    const auto request = core::RequestId::FromBits(1, 3);
    for (int i = 0; i < 10; ++i) {
      const auto left = ledger->OnArrival(kNow, request, 2);
      REQUIRE(left.has_value());
      CHECK(*left == 2);
      ledger->OnRefused(request, *left);
    }
  }

  TEST_CASE("memory is bounded")
  {
    retry::ResendTrackerSettings settings;
    settings.mMaxEntries = 160;
    auto ledger = *retry::ResendTracker::Create(settings);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
      CHECK(ledger->OnArrival(kNow, core::RequestId::FromBits(i, i), 1)
              .has_value());
    }
    CHECK(ledger->Size() <= 160);
    settings.mMaxEntries = 1;
    CHECK_FALSE(retry::ResendTracker::Create(settings).has_value());
  }
}
