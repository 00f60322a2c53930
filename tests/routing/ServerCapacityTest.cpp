#include "tests/routing/CapacityModel.h"

#include <doctest/doctest.h>
#include <sstream>
#include <string>

using namespace nutmegrock;
using nutmegrock::tests::CapacityModel;
using nutmegrock::tests::ModelServer;
using std::chrono::seconds;

// Figures of design/server-capacity.md: test_routing -s -tc="*capacity*".

namespace {

constexpr std::size_t kServers = 12;
/// A server of speed 1.
constexpr std::size_t kDeviating = 5;
constexpr double kEqualShare = 1.0 / kServers;

/// Servers with speeds from 0.5 to 1.6, evenly spread.
std::vector<ModelServer>
MixedServers()
{
  std::vector<ModelServer> servers(kServers);
  for (std::size_t i = 0; i < kServers; ++i) {
    servers[i].mSpeed = 0.5 + 0.1 * static_cast<double>(i);
  }
  return servers;
}

CapacityModel::Result
Measure(const std::string& aName, CapacityModel& aModel, double aLoad)
{
  aModel.Run(seconds(10), aLoad);
  CapacityModel::Result result = aModel.Run(seconds(30), aLoad);
  std::ostringstream shares;
  shares.precision(3);
  for (const double share : result.mShares) {
    shares << " " << share;
  }
  MESSAGE(aName << ": mean " << result.mMeanMs << " ms, p99 " << result.mP99Ms
                << " ms, lost " << result.mLost << ", shares" << shares.str());
  return result;
}

} // namespace

// Twelve servers of speeds 0.5 to 1.6 that change, one of them five times
// slower than it reports, at 0.9 of their capacity. Guards against weights by
// slots, with which slow servers queue while fast ones have room.
TEST_CASE("requests are spread by capacity at 0.9 of it")
{
  for (const unsigned seed : { 1U, 2U, 3U }) {
    auto servers = MixedServers();
    servers[kDeviating].mSlowdown = 5;
    CapacityModel by_slots(seed, servers, false);
    CapacityModel by_capacity(seed, servers, true);
    const auto before = Measure("by slots", by_slots, 0.9);
    const auto after = Measure("by capacity", by_capacity, 0.9);
    CHECK(after.mMeanMs < 0.9 * before.mMeanMs);
    CHECK(after.mP99Ms < 0.7 * before.mP99Ms);
    CHECK(after.mLost < 0.5 * before.mLost);
  }
}

// Guards against a server that stays avoided after its fault has ended.
TEST_CASE("a server that recovers gets its part of the capacity again")
{
  auto servers = MixedServers();
  servers[kDeviating].mSlowdown = 5;
  CapacityModel model(4, servers, true);
  const auto slow = Measure("one slow", model, 0.9);
  CHECK(slow.mShares[kDeviating] > 0.005);
  CHECK(slow.mShares[kDeviating] < 0.4 * kEqualShare);
  model.ServerAt(kDeviating).mSlowdown = 1;
  const auto recovered = Measure("recovered", model, 0.9);
  CHECK(recovered.mShares[kDeviating] > 0.7 * kEqualShare);
}

// A usual server claims to be as fast or as slow as can be reported. Guards
// against a wrong report that draws all requests to a server or keeps them away
// from it.
TEST_CASE(
  "a wrong capacity neither attracts all requests nor excludes a server")
{
  for (const std::uint32_t percent : { 1U, 10'000U }) {
    auto servers = MixedServers();
    servers[kDeviating].mWrongPercent = percent;
    CapacityModel model(5, servers, true);
    const auto result =
      Measure("reports " + std::to_string(percent), model, 0.9);
    CHECK(result.mShares[kDeviating] > 0.5 * kEqualShare);
    CHECK(result.mShares[kDeviating] < 1.6 * kEqualShare);
    CHECK(result.mLost < 0.01);
  }
}
