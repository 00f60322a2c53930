#include "experiment/Plan.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using experiment::Plan;

TEST_SUITE("experiment/Plan")
{
  TEST_CASE("plans round-trip through their text form")
  {
    struct Case
    {
      const char* mText;
      std::size_t mCalls;
    };
    for (const Case& c : { Case{ "", 0 },
                           Case{ "till/charge", 1 },
                           Case{ "till/charge+assessor/estimate", 2 },
                           Case{ "till/charge,assessor/estimate", 2 },
                           Case{ "a/b(c/d+e/f(g/h),i/j)+k/l/m", 6 } }) {
      const auto plan = Plan::Parse(c.mText);
      REQUIRE_MESSAGE(plan.has_value(), c.mText);
      CHECK(plan->ToString() == c.mText);
      CHECK(plan->CallCount() == c.mCalls);
    }
  }

  // With the wrong order, an experiment would measure other call chains than it
  // reports.
  TEST_CASE("comma separates steps and plus parallel calls")
  {
    const auto plan = Plan::Parse("a/b,c/d+e/f(g/h)");
    REQUIRE(plan.has_value());
    REQUIRE(plan->mSteps.size() == 2);
    CHECK(plan->mSteps[0].size() == 1);
    REQUIRE(plan->mSteps[1].size() == 2);
    CHECK(plan->mSteps[1][1].mSteps[0][0].mService == "g");
  }

  TEST_CASE("malformed plans are rejected")
  {
    std::string deep;
    for (int i = 0; i <= Plan::kMaxDepth; ++i) {
      deep += "a/b(";
    }
    for (const std::string& text : { std::string("a"),
                                     std::string("a/"),
                                     std::string("/b"),
                                     std::string("a/b,"),
                                     std::string("a/b+"),
                                     std::string("a/b("),
                                     std::string("a/b()"),
                                     std::string("a/b)"),
                                     std::string("a/b c/d"),
                                     deep }) {
      const auto plan = Plan::Parse(text);
      REQUIRE_FALSE_MESSAGE(plan.has_value(), text);
      CHECK(plan.error().mKind == core::ErrorKind::BadRequest);
    }
  }
}
