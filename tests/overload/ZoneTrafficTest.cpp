#include "tests/overload/ZoneModel.h"

#include <cmath>
#include <doctest/doctest.h>
#include <string>

using namespace nutmegrock;
using nutmegrock::tests::ZoneModel;
using std::chrono::seconds;

// Figures of design/zone-routing.md: test_overload -s -tc="zones:*".

namespace {

/// Demand with waves of this amplitude and 20 s, which peak in the zones in
/// turn.
ZoneModel::Demand
Waves(std::size_t aZones, double aMean, double aAmplitude)
{
  return [=](std::size_t aZone, double aSeconds) {
    constexpr double kPeriod = 20;
    const double phase =
      static_cast<double>(aZone) / static_cast<double>(aZones);
    return aMean *
           (1 + aAmplitude * std::sin(2 * M_PI * (aSeconds / kPeriod + phase)));
  };
}

ZoneModel::Result
Measure(const std::string& aName, ZoneModel& aModel, seconds aTime)
{
  aModel.Run(seconds(5));
  ZoneModel::Result result = aModel.Run(aTime);
  MESSAGE(aName << ": served " << result.mServed << ", mean " << result.mMeanMs
                << " ms, p99 " << result.mP99Ms << " ms, "
                << result.mBytes / 1000 << " KB/s between zones, left "
                << result.mLeft << " of requests, " << result.mDownloadsLeft
                << " of downloads, " << result.mNestedLeft
                << " of nested calls");
  return result;
}

} // namespace

// Demand that moves from zone to zone, at 0.75 of the capacity of all. Guards
// against zones that lose requests while others have room, and against moving
// large bodies or single calls for it.
TEST_CASE("zones: waves of demand are evened out with few bytes")
{
  for (const std::size_t zones : { 3U, 4U }) {
    ZoneModel model(1, zones, Waves(zones, 0.75, 0.55));
    const auto result = Measure(
      std::to_string(zones) + " zones, waves, 0.75", model, seconds(40));
    CHECK(result.mServed > 0.999);
    CHECK(result.mMeanMs < 50);
    CHECK(result.mBytes < 4e6);
    CHECK(result.mDownloadsLeft < 0.01);
    CHECK(result.mNestedLeft < 0.05);
  }
}

// The same near the limit of all zones, where the share that leaves has to
// follow the demand quickly.
TEST_CASE("zones: waves of demand at 0.9 of the capacity are served")
{
  for (const std::size_t zones : { 3U, 4U }) {
    ZoneModel model(1, zones, Waves(zones, 0.9, 0.55));
    const auto result =
      Measure(std::to_string(zones) + " zones, waves, 0.9", model, seconds(40));
    CHECK(result.mServed > 0.99);
    CHECK(result.mBytes < 15e6);
  }
}

// Half of the clients of a zone move to another one.
TEST_CASE("zones: clients that move do not overload their new zone")
{
  for (const std::size_t zones : { 3U, 4U }) {
    ZoneModel model(2, zones, [](std::size_t aZone, double aSeconds) {
      const double moved = aZone == 0 ? 0.35 : 1.05;
      return aSeconds < 8 || aZone > 1 ? 0.7 : moved;
    });
    const auto result = Measure(
      std::to_string(zones) + " zones, half of one moves", model, seconds(20));
    CHECK(result.mServed > 0.999);
    CHECK(result.mDownloadsLeft < 0.01);
  }
}

// Guards against traffic between zones that relieves none of them. With a rule
// by loads, which counts zones without reports as idle, it was 29 to 34 MB/s in
// the overload.
TEST_CASE("zones: equally loaded zones do not exchange requests")
{
  for (const double load : { 0.6, 0.97, 1.1 }) {
    ZoneModel model(3, 3, [load](std::size_t, double) { return load; });
    const auto result =
      Measure("equal loads of " + std::to_string(load), model, seconds(15));
    CHECK(result.mBytes < (load < 0.7 ? 1 : 14e6));
  }
}

// One zone has more demand than capacity. All its nodes decide at the same
// time on loads that are 0.5 s old. Guards against shares that swing, and
// against requests that do not return when the zone has room again.
TEST_CASE("zones: a steady surplus leaves steadily and returns early")
{
  ZoneModel model(3, 3, [](std::size_t aZone, double aSeconds) {
    return aZone == 0 && aSeconds < 25 ? 1.1 : 0.6;
  });
  const auto result = Measure("one zone at 1.1", model, seconds(20));
  double sum = 0;
  double squares = 0;
  int count = 0;
  for (std::size_t i = 20; i < 80; ++i) {
    const double share = result.mLeftBy[0][i];
    sum += share;
    squares += share * share;
    ++count;
  }
  const double mean = sum / count;
  const double deviation = std::sqrt(squares / count - mean * mean);
  MESSAGE("share that leaves: " << mean << ", deviation " << deviation);
  CHECK(mean > 0.12);
  CHECK(mean < 0.3);
  // 0.026 by chance, with 260 requests in 250 ms.
  CHECK(deviation < 0.06);
  const auto after = model.Run(seconds(5));
  for (std::size_t i = 12; i < 20; ++i) {
    CHECK(after.mLeftBy[0][i] < 0.02);
  }
}
