#include "overload/ZonePlacement.h"

#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };
const std::array<std::string, 3> kZones = { "a", "b", "c" };

std::size_t
IndexOf(const std::string& aZone)
{
  return aZone == "a" ? 0 : (aZone == "b" ? 1 : 2);
}

/// Three zones with a deep service whose servers differ in speed. A check makes
/// ten calls to it, which stay in the zone that the check runs in.
class Zones
{
public:
  explicit Zones(std::array<double, 3> aCapacity)
    : mCapacity(aCapacity)
  {
    mCosts.Learn(
      "check",
      { { { "dispatch", 0.3 }, { "stock", 0.12 }, { "index", 0.02 } },
        true,
        false });
    mCosts.Learn("upload", { { { "stock", 0.14 } }, true, false });
    SetDispatchZones({ { "a", 75 }, { "b", 75 }, { "c", 75 } });
    SetIndexZones({ { "a", 100 }, { "b", 100 }, { "c", 100 } });
    mLoads.SetZones("stock", { { "a", 199 }, { "b", 199 }, { "c", 199 } });
    for (std::size_t i = 0; i < kZones.size(); ++i) {
      mEntries.emplace_back(mCosts, mLoads);
    }
  }

  void SetDispatchZones(std::vector<ZoneSlots> aZones)
  {
    mLoads.SetZones("dispatch", std::move(aZones));
  }
  void SetIndexZones(std::vector<ZoneSlots> aZones)
  {
    mLoads.SetZones("index", std::move(aZones));
  }
  const std::string& Place(std::size_t aZone, std::string_view aRoute)
  {
    return mEntries[aZone].Place(mNow, { aRoute, mRandom() }, kZones[aZone]);
  }
  /// Offers aDemand for the deep service to each zone for aTime. Loads are
  /// reported 500 ms later.
  void Run(milliseconds aTime, std::array<double, 3> aDemand)
  {
    constexpr milliseconds kStep(50);
    constexpr std::size_t kLagSteps = 10;
    constexpr int kRequests = 60;
    mCrossed = 0;
    mPlaced = 0;
    for (milliseconds at(0); at < aTime; at += kStep) {
      mNow += kStep;
      std::array<double, 3> work{};
      for (std::size_t i = 0; i < kZones.size(); ++i) {
        for (int n = 0; n < kRequests; ++n) {
          const std::size_t zone = IndexOf(Place(i, "check"));
          work[zone] += aDemand[i] / kRequests;
          mCrossed += zone == i ? 0 : 1;
          ++mPlaced;
        }
      }
      for (std::size_t i = 0; i < kZones.size(); ++i) {
        work[i] /= mCapacity[i];
      }
      mPast.push_back(work);
      if (mPast.size() > kLagSteps) {
        mLoad = mPast[mPast.size() - 1 - kLagSteps];
        for (std::size_t i = 0; i < kZones.size(); ++i) {
          mLoads.OnReport(
            mNow,
            { "dispatch", kZones[i], mLoad[i], kOpenRank, milliseconds(0) });
        }
      }
    }
  }
  double Crossed() const { return static_cast<double>(mCrossed) / mPlaced; }
  const std::array<double, 3>& Load() const { return mLoad; }

private:
  const std::array<double, 3> mCapacity;
  RouteCosts mCosts;
  ServiceLoads mLoads;
  std::vector<ZonePlacement> mEntries;
  std::mt19937_64 mRandom{ 11 };
  core::TimePoint mNow = kStart;
  std::deque<std::array<double, 3>> mPast;
  std::array<double, 3> mLoad{};
  int mCrossed = 0;
  int mPlaced = 0;
};

} // namespace

// Two zones with a slow server of the deep service and one with a fast one, at
// 0.86 of the total capacity. Guards against each call of the deep service
// crossing zones, and against zones that exchange requests.
TEST_CASE("whole requests move to the zone where the deep service has capacity")
{
  Zones zones({ 52.5, 52.5, 120 });
  zones.Run(milliseconds(8000), { 64, 64, 64 });
  zones.Run(milliseconds(4000), { 64, 64, 64 });
  for (const double load : zones.Load()) {
    CHECK(load > 0.75);
    CHECK(load < 1.0);
  }
  // At equal loads the slow zones keep 45 of 64, so 0.2 of all requests move.
  CHECK(zones.Crossed() < 0.25);
}

TEST_CASE("requests stay while their zone has capacity")
{
  Zones zones({ 75, 75, 75 });
  zones.Run(milliseconds(4000), { 55, 40, 30 });
  CHECK(zones.Crossed() == 0);
}

// All zones are equally overloaded. Traffic between zones would not relieve any
// of them.
TEST_CASE("requests stay when all zones are equally loaded")
{
  Zones zones({ 75, 75, 75 });
  zones.Run(milliseconds(4000), { 100, 100, 100 });
  CHECK(zones.Crossed() < 0.02);
}

// Requests must not stay in another zone after the overload has ended.
TEST_CASE("requests return to their zone when it has capacity again")
{
  Zones zones({ 75, 75, 75 });
  zones.Run(milliseconds(6000), { 100, 40, 40 });
  CHECK(zones.Crossed() > 0.05);
  zones.Run(milliseconds(6000), { 50, 40, 40 });
  zones.Run(milliseconds(2000), { 50, 40, 40 });
  CHECK(zones.Crossed() < 0.02);
}

// The only server of the deep service in a zone has failed.
TEST_CASE("a zone without a needed service sends whole requests elsewhere")
{
  Zones zones({ 75, 75, 75 });
  zones.SetDispatchZones({ { "b", 75 }, { "c", 75 } });
  zones.Run(milliseconds(2000), { 30, 30, 30 });
  int left = 0;
  for (int i = 0; i < 100; ++i) {
    left += zones.Place(0, "check") == "a" ? 0 : 1;
    CHECK(zones.Place(0, "upload") == "a");
    CHECK(zones.Place(0, "unknown") == "a");
  }
  CHECK(left >= 95);
}

// A service with little share of the cost has servers in one zone only. Sending
// all requests there would overload the deep service.
TEST_CASE("a zone without a service that costs little keeps its requests")
{
  Zones zones({ 75, 75, 75 });
  zones.SetIndexZones({ { "a", 100 } });
  zones.Run(milliseconds(6000), { 60, 60, 60 });
  for (const double load : zones.Load()) {
    CHECK(load < 1.0);
  }
}

namespace {

/// A placement for a route with a single service, whose own zone is more loaded
/// than the other.
class TwoZones
{
public:
  explicit TwoZones(double aOwnLoad = 1.0)
  {
    mCosts.Learn("lookup", { { { "stock", 0.02 } }, true, false });
    mLoads.SetZones("stock", { { "a", 30 }, { "b", 30 } });
    Run(aOwnLoad, 60, 4'000);
  }
  /// Share of the requests that leaves after aSteps of 50 ms.
  double Run(double aOwnLoad, int aSteps, std::uint64_t aBytes)
  {
    int left = 0;
    constexpr int kRequests = 100;
    for (int i = 0; i < aSteps; ++i) {
      mNow += milliseconds(50);
      mPlacement.OnAttempt(mNow, "lookup", "a", aBytes, false);
      mLoads.OnReport(mNow, { "stock", "a", aOwnLoad, kOpenRank, {} });
      mLoads.OnReport(mNow, { "stock", "b", 0.6, kOpenRank, {} });
      left = 0;
      for (int n = 0; n < kRequests; ++n) {
        left += Place(0) == "b" ? 1 : 0;
      }
    }
    return static_cast<double>(left) / kRequests;
  }
  const std::string& Place(std::uint64_t aBodyBytes)
  {
    return mPlacement.Place(
      mNow, { "lookup", mRandom(), false, aBodyBytes }, mOwn);
  }
  void Fail(int aAttempts)
  {
    for (int i = 0; i < aAttempts; ++i) {
      mPlacement.OnAttempt(mNow, "lookup", "b", 0, true);
    }
  }
  const ZonePlacement& Placement() const { return mPlacement; }

private:
  const std::string mOwn = "a";
  RouteCosts mCosts;
  ServiceLoads mLoads;
  ZonePlacement mPlacement{ mCosts, mLoads };
  std::mt19937_64 mRandom{ 5 };
  core::TimePoint mNow = kStart;
};

} // namespace

// Loads stay as they are here, so a flow that pays grows until all leave.
// Guards against large bodies between zones for a short waiting time.
TEST_CASE("requests with large bodies leave their zone last")
{
  TwoZones zones;
  CHECK(zones.Run(1.0, 60, 4'000) > 0.3);
  int large = 0;
  for (int i = 0; i < 100; ++i) {
    large += zones.Place(50'000'000) == "b" ? 1 : 0;
  }
  CHECK(large == 0);
  // The responses become large.
  CHECK(zones.Run(0.97, 100, 10'000'000) < 0.02);
}

// Reports of a zone may be fresh while the link to it fails. Guards against
// requests that are sent there until the reports expire, and against a single
// failure that has the same effect.
TEST_CASE("requests are not placed in a zone where attempts fail")
{
  TwoZones zones;
  const double before = zones.Run(1.0, 1, 4'000);
  zones.Fail(1);
  CHECK(zones.Run(1.0, 1, 4'000) > before / 2);
  zones.Fail(30);
  CHECK(zones.Run(1.0, 1, 4'000) < 0.05);
  CHECK(zones.Run(1.0, 10, 4'000) < 0.05);
  CHECK(zones.Run(1.0, 100, 4'000) > 0.3);
}

TEST_CASE("the flows tell what leaves and why")
{
  TwoZones zones;
  const auto flows = zones.Placement().Flows(0.01);
  REQUIRE(flows.size() == 1);
  CHECK(flows[0].first == "lookup");
  CHECK(flows[0].second.mZone == "b");
  CHECK(flows[0].second.mService == "stock");
  CHECK(flows[0].second.mOwnTime > flows[0].second.mOtherTime);
  CHECK(TwoZones(0.7).Placement().Flows(0.01).empty());
}
