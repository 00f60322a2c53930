#include "overload/ServiceLoads.h"

#include <doctest/doctest.h>
#include <utility>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

ServerReport
Report(std::string_view aZone,
       std::uint64_t aServer,
       double aCutoff,
       double aWeight = 1)
{
  return {
    "stock", aZone, core::Incarnation{ aServer }, 0.5, aCutoff, aWeight
  };
}

} // namespace

// Guards against cutoffs that do not reach the entry nodes because other
// services are more loaded.
TEST_CASE("services with a cutoff are reported first")
{
  ServiceLoads loads;
  loads.SetOpenRank(3);
  const std::string calls = NameOfCalls("inspections", "dispatch");
  loads.OnServerLoad(kStart,
                     { calls, "a", core::Incarnation{ 1 }, 0, 1.25, 100 });
  loads.OnServerLoad(
    kStart, { "stock", "a", core::Incarnation{ 2 }, 0.9, kOpenRank, 1 });
  const auto reports = loads.Reports(kStart, 0.5, 1);
  REQUIRE(reports.size() == 1);
  CHECK(reports.front().mService == calls);
  CHECK(loads.Reports(kStart, 0.5, 2).size() == 2);
}

// Guards against a node with few calls that decides for all.
TEST_CASE("the cutoff of a service is the mean by weight")
{
  ServiceLoads loads;
  loads.SetOpenRank(3);
  CHECK(loads.Cutoff(kStart, "stock") == kOpenRank);
  loads.OnServerLoad(kStart, Report("a", 1, 1.0, 300));
  loads.OnServerLoad(kStart, Report("a", 2, 2.0, 100));
  CHECK(loads.Cutoff(kStart, "stock") == doctest::Approx(1.25));
  // A later report replaces that of its server.
  loads.OnServerLoad(kStart, Report("a", 2, 2.8, 100));
  CHECK(loads.Cutoff(kStart, "stock") == doctest::Approx(1.45));
  CHECK(loads.Cutoff(kStart, "index") == kOpenRank);
}

// Guards against a zone with few servers that decides for all.
TEST_CASE("the cutoff of a service is the mean of its zones by slots")
{
  ServiceLoads loads;
  loads.SetOpenRank(3);
  loads.SetZones("stock", { { "a", 300 }, { "b", 100 } });
  loads.OnServerLoad(kStart, Report("a", 1, 1.0));
  loads.OnServerLoad(kStart, Report("b", 2, 2.0));
  // No servers of the service there.
  loads.OnServerLoad(kStart, Report("c", 3, 0.1));
  CHECK(loads.Cutoff(kStart, "stock") == doctest::Approx(1.25));
}

// Guards against one node that serves all and hides that the others do not:
// a rank of 8 where priorities end at 2.
TEST_CASE("a server without a cutoff does not outweigh the others")
{
  ServiceLoads loads;
  loads.SetOpenRank(3);
  loads.OnServerLoad(kStart, Report("a", 1, 1.0));
  loads.OnServerLoad(kStart, Report("a", 2, kOpenRank));
  CHECK(loads.Cutoff(kStart, "stock") == doctest::Approx(2.0));
  loads.OnServerLoad(kStart, Report("b", 3, kOpenRank));
  CHECK(loads.Cutoff(kStart, "stock") == doctest::Approx(2.5));
  // All serve all, some just so.
  loads.OnServerLoad(kStart, Report("a", 1, 3.0));
  CHECK(loads.Cutoff(kStart, "stock") == kOpenRank);
}

// Guards against entry nodes that learn of a cutoff only by their own calls.
TEST_CASE("forwarded reports carry the cutoff")
{
  ServiceLoads from;
  from.SetOpenRank(3);
  from.OnServerLoad(kStart, Report("a", 1, 1.2));
  from.OnServerLoad(kStart,
                    { "index", "a", core::Incarnation{ 2 }, 0.3, kOpenRank });
  const core::TimePoint later = kStart + milliseconds(100);
  // A service with a cutoff is forwarded whatever its load; the other is not.
  const auto reports = from.Reports(later, 0.7, 10);
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].mService == "stock");
  CHECK(reports[0].mCutoff == doctest::Approx(1.2));
  CHECK(reports[0].mAge == milliseconds(100));
  ServiceLoads to;
  to.SetOpenRank(3);
  to.OnReport(later, reports[0]);
  CHECK(to.Cutoff(later, "stock") == doctest::Approx(1.2));
  // Own observations that are newer stay.
  to.OnServerLoad(later, Report("a", 1, 2.0));
  to.OnReport(later, reports[0]);
  CHECK(to.Cutoff(later, "stock") == doctest::Approx(2.0));
}

// Guards against refusals by a cutoff that nobody reports any more.
TEST_CASE("stale cutoffs are dropped")
{
  ServiceLoads loads;
  loads.SetOpenRank(3);
  loads.OnServerLoad(kStart, Report("a", 1, 1.0));
  loads.OnServerLoad(kStart + milliseconds(800), Report("a", 2, 2.0));
  // The first server has not reported for 0.8 s.
  CHECK(loads.Cutoff(kStart + milliseconds(800), "stock") ==
        doctest::Approx(2.0));
  CHECK(loads.Cutoff(kStart + milliseconds(2200), "stock") ==
        doctest::Approx(2.0));
  const core::TimePoint late = kStart + milliseconds(2400);
  CHECK(loads.Cutoff(late, "stock") == kOpenRank);
  CHECK(loads.Reports(late, 0, 10).empty());
}

// Guards against cutoffs of calls between services that are taken for those of
// the service, and the other way round.
TEST_CASE("the calls of one service to another have a name of their own")
{
  const std::string name = NameOfCalls("dispatch", "stock");
  CHECK(ServicesOfName(name) ==
        std::pair<std::string_view, std::string_view>{ "stock", "dispatch" });
  CHECK(ServicesOfName("stock") ==
        std::pair<std::string_view, std::string_view>{ "stock", "" });
  ServiceLoads loads;
  loads.SetOpenRank(3);
  loads.OnServerLoad(kStart, { name, "a", core::Incarnation{ 1 }, 0, 1.5, 90 });
  CHECK(loads.Cutoff(kStart, name) == doctest::Approx(1.5));
  CHECK(loads.Cutoff(kStart, "stock") == kOpenRank);
  CHECK(loads.Cutoff(kStart, "dispatch") == kOpenRank);
}

// A zone of slow servers has less capacity than one of fast servers with as
// many slots. Guards against means in which its load counts as much.
TEST_CASE("loads are weighted by the capacity of servers and zones")
{
  ServiceLoads loads;
  loads.SetZones("stock", { { "a", 10 }, { "b", 10 } });
  const auto report = [&loads](const char* aZone,
                               std::uint64_t aServer,
                               double aLoad,
                               double aSpeed) {
    loads.OnServerLoad(
      kStart, { "stock", aZone, { aServer }, aLoad, kOpenRank, 1, aSpeed });
  };
  CHECK(loads.Capacity(kStart, "stock", "a") == 10);
  CHECK(loads.Capacity(kStart, "stock", "c") == 0);
  report("a", 1, 1.2, 0.5);
  CHECK(loads.Capacity(kStart, "stock", "a") == doctest::Approx(5));
  report("b", 2, 0.9, 1);
  CHECK(loads.Load(kStart, "stock") == doctest::Approx(1.0));
  report("b", 3, 0.3, 2);
  CHECK(loads.ZoneLoad(kStart, "stock", "b") == doctest::Approx(0.5));
}
