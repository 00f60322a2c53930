#include "retry/ResendTracker.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kNow{ 1h };

} // namespace

TEST_SUITE("retry/ResendTracker")
{
  // A caller that resends a request must not get a new budget.
  TEST_CASE("all arrivals of a request share one budget")
  {
    auto tracker = *retry::ResendTracker::Create({});
    const auto request = core::RequestId::FromBits(1, 1);
    const auto first = tracker->OnArrival(kNow, request, 2);
    REQUIRE(first.has_value());
    CHECK(*first == 2);
    tracker->OnEnd(request, 1);
    const auto second = tracker->OnArrival(kNow + 1s, request, 2);
    REQUIRE(second.has_value());
    CHECK(*second == 0);
    tracker->OnEnd(request, 0);
    const auto third = tracker->OnArrival(kNow + 2s, request, 2);
    REQUIRE_FALSE(third.has_value());
    CHECK(third.error().mKind == core::ErrorKind::RetryBudgetSpent);
    CHECK(third.error().mRetryAfter == 28s);
    CHECK(tracker->OnArrival(kNow + 31s, request, 2).has_value());
  }

  // A request in flight holds the whole budget.
  TEST_CASE("a copy of a request in flight finds no budget")
  {
    auto tracker = *retry::ResendTracker::Create({});
    const auto request = core::RequestId::FromBits(1, 2);
    CHECK(tracker->OnArrival(kNow, request, 2).has_value());
    CHECK_FALSE(tracker->OnArrival(kNow, request, 2).has_value());
  }

  TEST_CASE("an arrival refused before any attempt costs nothing")
  {
    auto tracker = *retry::ResendTracker::Create({});
    const auto request = core::RequestId::FromBits(1, 3);
    for (int i = 0; i < 10; ++i) {
      const auto remaining = tracker->OnArrival(kNow, request, 2);
      REQUIRE(remaining.has_value());
      CHECK(*remaining == 2);
      tracker->OnRefused(request, *remaining);
    }
  }

  TEST_CASE("the number of entries is bounded")
  {
    retry::ResendTrackerSettings settings;
    settings.mMaxEntries = 160;
    auto tracker = *retry::ResendTracker::Create(settings);
    for (std::uint64_t i = 0; i < 10'000; ++i) {
      CHECK(tracker->OnArrival(kNow, core::RequestId::FromBits(i, i), 1)
              .has_value());
    }
    CHECK(tracker->Size() <= 160);
    settings.mMaxEntries = 1;
    CHECK_FALSE(retry::ResendTracker::Create(settings).has_value());
  }
}
