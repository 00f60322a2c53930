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
    return mEntries[aZone].Place(mNow, aRoute, mRandom(), kZones[aZone]);
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
