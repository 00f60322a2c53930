#include "gateway/ZoneFlowLog.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::gateway {

namespace {

constexpr std::chrono::seconds kInterval{ 1 };
/// Flows with a smaller share of the requests of their route are not logged.
constexpr double kMinShare = 0.01;
/// Lines per interval; the largest flows are logged.
constexpr std::size_t kMaxLines = 5;

} // namespace

ZoneFlowLog::ZoneFlowLog(metrics::Registry& aRegistry, Writer aWriter)
  : mRegistry(aRegistry)
  , mWriter(std::move(aWriter))
{
}

void
ZoneFlowLog::CountMoved(std::string_view aRoute, std::string_view aZone)
{
  mRegistry
    .CounterOf(
      "nutmegrock_zone_moved_total",
      { { "route", std::string(aRoute) }, { "zone", std::string(aZone) } })
    .Add();
}

void
ZoneFlowLog::Tick(core::TimePoint aNow,
                  const overload::ZonePlacement& aPlacement)
{
  if (aNow - mLoggedAt < kInterval) {
    return;
  }
  mLoggedAt = aNow;
  auto flows = aPlacement.Flows(kMinShare);
  std::sort(
    flows.begin(), flows.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mShare > aRight.second.mShare;
    });
  flows.resize(std::min(flows.size(), kMaxLines));
  constexpr double kMilliseconds = 1000;
  for (const auto& [route, flow] : flows) {
    mWriter(
      fmt::format("event=zone_flow route={} to={} share={:.2f} service={} "
                  "own_wait_ms={:.1f} other_wait_ms={:.1f} price_ms={:.1f}",
                  route,
                  flow.mZone,
                  flow.mShare,
                  flow.mService,
                  flow.mOwnTime * kMilliseconds,
                  flow.mOtherTime * kMilliseconds,
                  flow.mPrice * kMilliseconds));
  }
  if (flows.empty() && mHadFlows) {
    mWriter("event=zone_flow_over");
  }
  mHadFlows = !flows.empty();
}

} // namespace nutmegrock::gateway
