#include "overload/ZonePlacement.h"

#include <algorithm>
#include <chrono>

namespace nutmegrock::overload {

namespace {

/// Maximum number of tracked routes; when exceeded, all are dropped.
constexpr std::size_t kMaxRoutes = 1024;
/// Minimum number of services of a route to place its requests; for a single
/// service, choosing its server has the same effect.
constexpr std::size_t kMinServices = 2;
/// Assumed load without a fresh report: nodes do not forward lower loads.
constexpr double kUnknownLoad = 0.5;
/// Added to the load of a zone in which a service has no servers, since its
/// calls would leave the zone; weighted by the service's share of the cost of
/// the route.
constexpr double kMissingLoad = 3.0;
/// Maximum time covered by one step, after a period without requests.
constexpr double kMaxStepSeconds = 0.2;

/// Maps a hash to [0, 1), independently of the numbers that admission and the
/// server choice derive from the same hash.
double
ToUnitInterval(std::uint64_t aHash)
{
  constexpr std::uint64_t kOdd = 0x9e3779b97f4a7c15ULL;
  constexpr double kScale = 1.0 / 9007199254740992.0; // 2^53
  std::uint64_t bits = (aHash ^ (aHash >> 29U)) * kOdd;
  bits ^= bits >> 32U;
  bits *= kOdd;
  return static_cast<double>(bits >> 11U) * kScale;
}

} // namespace

ZonePlacement::ZonePlacement(const RouteCosts& aCosts,
                             const ServiceLoads& aLoads,
                             ZonePlacementSettings aSettings)
  : mCosts(aCosts)
  , mLoads(aLoads)
  , mSettings(aSettings)
{
}

const std::string&
ZonePlacement::Place(core::TimePoint aNow,
                     std::string_view aRoute,
                     std::uint64_t aHash,
                     const std::string& aOwnZone)
{
  const RouteCost* cost = mCosts.Find(aRoute);
  if (cost == nullptr || cost->mServices.size() < kMinServices) {
    return aOwnZone;
  }
  auto found = mRoutes.find(aRoute);
  if (found == mRoutes.end()) {
    if (mRoutes.size() >= kMaxRoutes) {
      mRoutes.clear();
    }
    found = mRoutes.emplace(aRoute, Route{}).first;
  }
  Route& route = found->second;
  if (route.mUpdatedAt == core::TimePoint{} ||
      aNow - route.mUpdatedAt >= mSettings.mUpdateInterval) {
    Update(aNow, *cost, aOwnZone, route);
  }
  double draw = ToUnitInterval(aHash);
  for (const Flow& flow : route.mFlows) {
    if (draw < flow.mShare) {
      return flow.mZone;
    }
    draw -= flow.mShare;
  }
  return aOwnZone;
}

// Zones in which any service of the route has servers.
std::vector<ZonePlacement::ZoneState>
ZonePlacement::ZonesOf(const RouteCost& aCost) const
{
  std::vector<ZoneState> zones;
  for (const ServiceCost& part : aCost.mServices) {
    for (const ZoneSlots& zone : mLoads.Zones(part.mService)) {
      const bool known =
        std::any_of(zones.begin(), zones.end(), [&](const ZoneState& aOther) {
          return aOther.mZone == zone.mZone;
        });
      if (!known) {
        zones.push_back({ zone.mZone, 0, 0 });
      }
    }
  }
  return zones;
}

// The load of a zone is that of its most loaded service; the slots are those of
// the service with the highest load over all zones.
std::vector<ZonePlacement::ZoneState>
ZonePlacement::ZoneStatesOf(core::TimePoint aNow, const RouteCost& aCost) const
{
  double total = 0;
  double heaviest_load = -1;
  std::string_view heaviest;
  for (const ServiceCost& part : aCost.mServices) {
    total += part.mSlotSeconds;
    const double load = mLoads.Load(aNow, part.mService).value_or(0);
    if (load > heaviest_load) {
      heaviest_load = load;
      heaviest = part.mService;
    }
  }
  std::vector<ZoneState> zone_states = ZonesOf(aCost);
  for (ZoneState& zone_state : zone_states) {
    double missing = 0;
    for (const ServiceCost& part : aCost.mServices) {
      const auto& zones = mLoads.Zones(part.mService);
      const auto zone =
        std::find_if(zones.begin(), zones.end(), [&](const ZoneSlots& aZone) {
          return aZone.mZone == zone_state.mZone;
        });
      if (zone == zones.end()) {
        missing += kMissingLoad * part.mSlotSeconds / std::max(total, 1e-9);
        continue;
      }
      zone_state.mLoad =
        std::max(zone_state.mLoad,
                 mLoads.ZoneLoad(aNow, part.mService, zone_state.mZone)
                   .value_or(kUnknownLoad));
      if (part.mService == heaviest) {
        zone_state.mSlots =
          mLoads.Capacity(aNow, part.mService, zone_state.mZone);
      }
    }
    zone_state.mLoad += missing;
  }
  return zone_states;
}

void
ZonePlacement::Update(core::TimePoint aNow,
                      const RouteCost& aCost,
                      std::string_view aOwnZone,
                      Route& aRoute) const
{
  const double seconds =
    std::min(kMaxStepSeconds,
             std::chrono::duration<double>(aNow - aRoute.mUpdatedAt).count());
  aRoute.mUpdatedAt = aNow;
  const auto zone_states = ZoneStatesOf(aNow, aCost);
  // A zone without any servers for the route has no entry.
  double own = kUnknownLoad + kMissingLoad;
  double other_slots = 0;
  for (const ZoneState& zone_state : zone_states) {
    if (zone_state.mZone == aOwnZone) {
      own = zone_state.mLoad;
    } else {
      other_slots += zone_state.mSlots;
    }
  }
  // Each flow grows while its zone is less loaded than the own one, and shrinks
  // otherwise, so that it converges to equal loads. Flows to zones that are no
  // longer known are dropped.
  std::vector<Flow> flows;
  double sum = 0;
  for (const ZoneState& zone_state : zone_states) {
    if (zone_state.mZone == aOwnZone || zone_state.mSlots <= 0) {
      continue;
    }
    const auto old = std::find_if(
      aRoute.mFlows.begin(), aRoute.mFlows.end(), [&](const Flow& aFlow) {
        return aFlow.mZone == zone_state.mZone;
      });
    double difference = own - std::max(mSettings.mMinLoad, zone_state.mLoad);
    if (difference > 0 && difference < mSettings.mDeadband) {
      difference = 0;
    }
    const double step =
      seconds * mSettings.mGain * difference * zone_state.mSlots / other_slots;
    const double before = old == aRoute.mFlows.end() ? 0 : old->mShare;
    const double share = std::clamp(before + step, 0.0, 1.0);
    sum += share;
    flows.push_back({ zone_state.mZone, share });
  }
  for (Flow& flow : flows) {
    flow.mShare /= std::max(1.0, sum);
  }
  aRoute.mFlows = std::move(flows);
}

} // namespace nutmegrock::overload
