#include "gateway/SheddingLog.h"

#include <doctest/doctest.h>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using std::chrono::milliseconds;

namespace {

/// Collects the lines and drives the log.
struct Fixture
{
  std::vector<std::string> mLines;
  SheddingLog mLog{ [this](std::string_view aLine) {
    mLines.emplace_back(aLine);
  } };
  SheddingLog::Cutoffs mCutoffs;
  overload::RouteCosts mCosts;
  core::TimePoint mNow{ std::chrono::hours(1) };

  void Run(milliseconds aTime)
  {
    constexpr milliseconds kStep(50);
    for (milliseconds at(0); at < aTime; at += kStep) {
      mNow += kStep;
      mLog.Tick(mNow, mCutoffs, mCosts);
    }
  }
};

} // namespace

TEST_CASE("the beginning, the course and the end of shedding are logged")
{
  Fixture fixture;
  fixture.Run(milliseconds(2000));
  CHECK(fixture.mLines.empty());
  fixture.mCutoffs = { { "dispatch", 2.354 } };
  fixture.Run(milliseconds(50));
  CHECK(fixture.mLines == std::vector<std::string>{
                            "event=shedding service=dispatch cutoff=2.35" });
  fixture.mCutoffs["dispatch"] = 0.4;
  fixture.Run(milliseconds(2950));
  REQUIRE(fixture.mLines.size() == 3);
  CHECK(fixture.mLines[1] == "event=shedding service=dispatch cutoff=0.40");
  CHECK(fixture.mLines[2] == "event=shedding service=dispatch cutoff=0.40");
  fixture.mLines.clear();
  fixture.mCutoffs.clear();
  fixture.Run(milliseconds(2000));
  REQUIRE(fixture.mLines.size() == 1);
  CHECK(fixture.mLines[0] == "event=shedding_over service=dispatch");
}

TEST_CASE("services are logged separately, each at most once a second")
{
  Fixture fixture;
  fixture.mCutoffs = { { "dispatch", 0.4 } };
  fixture.Run(milliseconds(50));
  fixture.mCutoffs["dispatch<till"] = 1.2;
  fixture.Run(milliseconds(50));
  CHECK(fixture.mLines ==
        std::vector<std::string>{
          "event=shedding service=dispatch cutoff=0.40",
          "event=shedding service=dispatch<till cutoff=1.20" });
  fixture.mLines.clear();
  // Short pauses are neither logged as an end nor as a new beginning.
  for (int i = 0; i < 8; ++i) {
    fixture.mCutoffs.erase("dispatch");
    fixture.Run(milliseconds(50));
    fixture.mCutoffs["dispatch"] = 0.4;
    fixture.Run(milliseconds(50));
  }
  CHECK(fixture.mLines.empty());
  fixture.mCutoffs.erase("dispatch");
  fixture.Run(milliseconds(300));
  CHECK(fixture.mLines ==
        std::vector<std::string>{
          "event=shedding_over service=dispatch",
          "event=shedding service=dispatch<till cutoff=1.20" });
}

TEST_CASE("a cost is logged when it is learned and when it has changed")
{
  Fixture fixture;
  fixture.mCosts.Learn("check", { { { "dispatch", 0.2 } }, true, false });
  fixture.Run(milliseconds(3000));
  REQUIRE(fixture.mLines.size() == 1);
  CHECK(fixture.mLines[0].starts_with("event=route_cost route=check cost="));
  CHECK(fixture.mLines[0].find("dispatch") != std::string::npos);
  for (int i = 0; i < 20; ++i) {
    fixture.mCosts.Learn("check", { { { "dispatch", 0.6 } }, true, false });
  }
  fixture.Run(milliseconds(3000));
  CHECK(fixture.mLines.size() == 2);
}
