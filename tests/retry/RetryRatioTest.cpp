#include "retry/RetryRatio.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;
using retry::RetryRatio;

TEST_SUITE("retry/RetryRatio")
{
  TEST_CASE("retries stay within 10% of first attempts at any failure share")
  {
    for (const int failedPerTen : { 0, 1, 3, 9, 10 }) {
      CAPTURE(failedPerTen);
      const auto ratio = *RetryRatio::Create({});
      core::TimePoint now{ 1h };
      int retries = 0;
      for (int call = 1; call <= 2000; ++call) {
        now += 5ms;
        if (call % 10 < failedPerTen) {
          retries += ratio->TryTake(now, "till") ? 1 : 0;
        } else {
          ratio->OnSuccess(now, "till");
        }
        CHECK(retries <= call / 10);
      }
      // With 10% failures nearly all of them can be retried.
      if (failedPerTen == 1) {
        CHECK(retries >= 170);
      }
    }
  }

  // Tokens saved in healthy periods would cause a burst of retries in an
  // outage.
  TEST_CASE(
    "an outage after a healthy period gets at most 1.1 attempts per call")
  {
    for (const int perSecond : { 20, 200, 2000 }) {
      CAPTURE(perSecond);
      const auto ratio = *RetryRatio::Create({});
      core::TimePoint now{ 1h };
      const core::Duration gap = core::Duration(1s) / perSecond;
      for (int call = 0; call < 10 * perSecond; ++call) {
        ratio->OnSuccess(now += gap, "till");
      }
      int retries = 0;
      for (int call = 0; call < 2 * perSecond; ++call) {
        retries += ratio->TryTake(now += gap, "till") ? 1 : 0;
      }
      CHECK(retries >= 1);
      CHECK(retries <= 2 * perSecond / 10);
    }
  }

  TEST_CASE("services do not share their retries")
  {
    const auto ratio = *RetryRatio::Create({});
    const core::TimePoint now{ 1h };
    for (int call = 0; call < 10; ++call) {
      ratio->OnSuccess(now, "till");
    }
    CHECK_FALSE(ratio->TryTake(now, "tracker"));
    CHECK(ratio->TryTake(now, "till"));
    CHECK_FALSE(ratio->TryTake(now, "till"));
    CHECK_FALSE(RetryRatio::Create({ .mRatio = 2 }).has_value());
  }
}
