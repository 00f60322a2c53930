#include "overload/EntryAdmission.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

/// The hash whose part of the rank is aUnit.
std::uint64_t
HashOf(double aUnit)
{
  return static_cast<std::uint64_t>(aUnit * 9007199254740992.0) << 11U;
}

/// Checks lead from dispatch to stock, uploads to stock, pings to neither.
struct EntryNode
{
  RouteCosts mCosts;
  ServiceLoads mLoads;
  EntryAdmission mAdmission{ mCosts, mLoads };

  EntryNode()
  {
    mLoads.SetOpenRank(3);
    mCosts.Learn("check",
                 { { { "dispatch", 0.3 }, { "stock", 0.1 } }, true, false });
    mCosts.Learn("upload",
                 { { { "depot", 0.3 }, { "stock", 0.1 } }, true, false });
    mCosts.Learn("ping", { { { "index", 0.1 } }, true, false });
  }
  void Report(const std::string& aName, double aCutoff)
  {
    mLoads.OnServerLoad(kStart,
                        { aName, "a", core::Incarnation{ 1 }, 0.5, aCutoff });
    mAdmission.Tick(kStart);
  }
  EntryDecision Decide(std::string_view aRoute,
                       std::uint32_t aPriority,
                       double aUnit) const
  {
    return mAdmission.Decide(
      { aRoute, aPriority, milliseconds(1000), HashOf(aUnit) });
  }
};

} // namespace

// Guards against a zone that is cut off or slow and makes entry nodes of all
// zones refuse requests.
TEST_CASE("the cutoff of the zone of a request decides")
{
  EntryNode entry;
  const auto report = [&](std::string_view aZone, double aCutoff) {
    entry.mLoads.OnServerLoad(
      kStart, { "stock", aZone, core::Incarnation{ 1 }, 0.5, aCutoff });
    entry.mAdmission.Tick(kStart);
  };
  const auto admitted = [&](std::string_view aZone, double aUnit) {
    return entry.mAdmission
      .Decide({ "check", 2, milliseconds(1000), HashOf(aUnit), aZone })
      .mAdmitted;
  };
  report("a", 0.2);
  report("b", 2.6);
  report("c", kOpenRank);
  CHECK(!admitted("a", 0.0));
  CHECK(admitted("b", 0.5));
  CHECK(!admitted("b", 0.8));
  CHECK(admitted("c", 0.99));
  // The mean of a, b and c decides where the service has no servers.
  CHECK(!admitted("d", 0.1));
}

// Guards against refusals by a node that has just started.
TEST_CASE("what is not known to lead to a full service is admitted")
{
  EntryNode entry;
  CHECK(entry.Decide("check", 2, 0.99).mAdmitted);
  entry.Report("stock", 0.0);
  CHECK(!entry.Decide("check", 2, 0.99).mAdmitted);
  const EntryDecision unknown = entry.Decide("unknown", 2, 0.99);
  CHECK(unknown.mAdmitted);
  CHECK(unknown.mRank == doctest::Approx(2.99));
  CHECK(entry.Decide("ping", 2, 0.99).mAdmitted);
  // Without a fresh report nothing is refused.
  entry.mAdmission.Tick(kStart + milliseconds(2000));
  CHECK(entry.mAdmission.CutoffsInForce().empty());
  CHECK(entry.Decide("check", 2, 0.99).mAdmitted);
}

// Guards against refusing all that leads to a service when it is only full for
// one that calls it.
TEST_CASE("a cutoff of calls between services concerns what leads to both")
{
  EntryNode entry;
  entry.Report(NameOfCalls("dispatch", "stock"), 1.0);
  const EntryDecision refused = entry.Decide("check", 2, 0.5);
  CHECK(!refused.mAdmitted);
  CHECK(refused.mService == NameOfCalls("dispatch", "stock"));
  CHECK(refused.mCutoff == doctest::Approx(1.0));
  CHECK(entry.Decide("upload", 2, 0.5).mAdmitted);
  CHECK(entry.Decide("ping", 2, 0.5).mAdmitted);
  // The lowest cutoff decides.
  entry.Report("stock", 2.0);
  CHECK(!entry.Decide("upload", 2, 0.5).mAdmitted);
  CHECK(entry.Decide("upload", 1, 0.9).mAdmitted);
  CHECK(!entry.Decide("check", 1, 0.9).mAdmitted);
}

// Guards against refusing important requests while others are admitted.
TEST_CASE("important requests are refused last")
{
  for (const double cutoff : { 2.6, 2.0, 1.4, 0.7, 0.1 }) {
    CAPTURE(cutoff);
    EntryNode entry;
    entry.Report("stock", cutoff);
    bool refused = false;
    for (std::uint32_t priority = 0; priority < 3; ++priority) {
      for (double unit = 0.005; unit < 1; unit += 0.01) {
        const bool admitted = entry.Decide("check", priority, unit).mAdmitted;
        CHECK((!refused || !admitted));
        refused = !admitted;
      }
    }
    CHECK(refused);
  }
}

// Guards against a service that never gets more than it serves now, and so
// cannot notice that it could.
TEST_CASE("somewhat more is admitted than the cutoff says")
{
  EntryNode entry;
  entry.Report("stock", 1.5);
  CHECK(entry.Decide("check", 1, 0.59).mAdmitted);
  CHECK(!entry.Decide("check", 1, 0.61).mAdmitted);
  // The most important requests are never all refused.
  entry.Report("stock", 0.0);
  CHECK(entry.Decide("check", 0, 0.09).mAdmitted);
  CHECK(!entry.Decide("check", 0, 0.11).mAdmitted);
}

// Guards against refused callers that come back at once, too late or together.
TEST_CASE("a refused request is told when to come back")
{
  EntryNode entry;
  entry.Report("stock", 1.0);
  milliseconds lowest = std::chrono::hours(1);
  milliseconds highest(0);
  for (double unit = 0.005; unit < 1; unit += 0.01) {
    const EntryDecision decision = entry.Decide("check", 2, unit);
    REQUIRE(!decision.mAdmitted);
    CHECK(decision.mService == "stock");
    lowest = std::min(lowest, decision.mRetryAfter);
    highest = std::max(highest, decision.mRetryAfter);
  }
  CHECK(lowest >= milliseconds(200));
  CHECK(highest <= milliseconds(500));
  CHECK(highest - lowest > milliseconds(200));
  const EntryDecision admitted = entry.Decide("check", 0, 0.5);
  CHECK(admitted.mAdmitted);
  CHECK(admitted.mRetryAfter == milliseconds(0));
  CHECK(admitted.mService.empty());
  // A short objective does not lead to a flood of retries.
  CHECK(entry.mAdmission.Decide({ "check", 2, milliseconds(10), HashOf(0.5) })
          .mRetryAfter == milliseconds(50));
}
