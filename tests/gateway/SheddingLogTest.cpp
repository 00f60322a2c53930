#include "gateway/SheddingLog.h"

#include <doctest/doctest.h>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using std::chrono::milliseconds;

namespace {

/// Collects the lines and drives one level.
struct Fixture
{
  std::vector<std::string> mLines;
  SheddingLog mLog{ [this](std::string_view aLine) {
    mLines.emplace_back(aLine);
  } };
  SheddingLog::Levels mLevels;
  overload::RouteCosts mCosts;
  core::TimePoint mNow{ std::chrono::hours(1) };

  void Run(milliseconds aTime, double aLoad)
  {
    constexpr milliseconds kStep(50);
    for (milliseconds at(0); at < aTime; at += kStep) {
      mNow += kStep;
      auto& level = mLevels.try_emplace("dispatch").first->second;
      level.Update(mNow, aLoad);
      mLog.Tick(mNow, mLevels, mCosts);
    }
  }
};

} // namespace

TEST_CASE("the beginning and the end of shedding are logged")
{
  Fixture fixture;
  fixture.Run(milliseconds(2000), 0.5);
  CHECK(fixture.mLines.empty());
  fixture.Run(milliseconds(3000), 2);
  REQUIRE(fixture.mLines.size() >= 2);
  CHECK(fixture.mLines.size() <= 4);
  CHECK(fixture.mLines[0].starts_with("event=shedding service=dispatch load="));
  fixture.mLines.clear();
  fixture.mLevels.clear();
  fixture.Run(milliseconds(2000), 0.5);
  REQUIRE(fixture.mLines.size() == 1);
  CHECK(fixture.mLines[0].starts_with(
    "event=shedding_over service=dispatch load="));
}

TEST_CASE("a cost is logged when it is learned and when it has changed")
{
  Fixture fixture;
  fixture.mCosts.Learn("check", { { { "dispatch", 0.2 } }, true, false });
  fixture.Run(milliseconds(3000), 0.5);
  REQUIRE(fixture.mLines.size() == 1);
  CHECK(fixture.mLines[0].starts_with("event=route_cost route=check cost="));
  CHECK(fixture.mLines[0].find("dispatch") != std::string::npos);
  for (int i = 0; i < 20; ++i) {
    fixture.mCosts.Learn("check", { { { "dispatch", 0.6 } }, true, false });
  }
  fixture.Run(milliseconds(3000), 0.5);
  CHECK(fixture.mLines.size() == 2);
}
