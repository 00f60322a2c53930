#include "overload/ZonePlacement.h"

#include <algorithm>
#include <chrono>

namespace nutmegrock::overload {

namespace {

/// Routes that are followed at a time; the others stay in their zone.
constexpr std::size_t kMaxRoutes = 1024;
/// A route that holds a slot of one service only has nothing to gain: choosing
/// its server decides the same.
constexpr std::size_t kMinServices = 2;
/// Load that is assumed where no fresh report is known: loads below it are not
/// passed on between nodes.
constexpr double kUnknownLoad = 0.5;
/// Added to the load of a zone in which a service has no servers, for a route
/// that spends all its time there, since its calls would leave the zone; less
/// for a route that spends only a part of it there.
constexpr double kMissingLoad = 3.0;
/// Longest time that one step answers for, after a time without requests.
constexpr double kMaxStepSeconds = 0.2;

/// A number in [0, 1) that is independent of those that admission and the
/// choice of the server draw from the same hash.
double
UnitOf(std::uint64_t aHash)
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
      aNow - route.mUpdatedAt >= mSettings.mEvery) {
    Update(aNow, *cost, aOwnZone, route);
  }
  double draw = UnitOf(aHash);
  for (const Flow& flow : route.mFlows) {
    if (draw < flow.mShare) {
      return flow.mZone;
    }
    draw -= flow.mShare;
  }
  return aOwnZone;
}

// Zones in which any service of the route has servers.
std::vector<ZonePlacement::Pressure>
ZonePlacement::ZonesOf(const RouteCost& aCost) const
{
  std::vector<Pressure> zones;
  for (const ServiceCost& part : aCost.mServices) {
    for (const ZoneSlots& zone : mLoads.Zones(part.mService)) {
      const bool known =
        std::any_of(zones.begin(), zones.end(), [&](const Pressure& aOther) {
          return aOther.mZone == zone.mZone;
        });
      if (!known) {
        zones.push_back({ zone.mZone, 0, 0 });
      }
    }
  }
  return zones;
}

// The load of a zone is that of the service which is loaded most there; the
// slots are those of the service that is loaded most in all.
std::vector<ZonePlacement::Pressure>
ZonePlacement::PressuresOf(core::TimePoint aNow, const RouteCost& aCost) const
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
  std::vector<Pressure> pressures = ZonesOf(aCost);
  for (Pressure& pressure : pressures) {
    double missing = 0;
    for (const ServiceCost& part : aCost.mServices) {
      const auto& zones = mLoads.Zones(part.mService);
      const auto zone =
        std::find_if(zones.begin(), zones.end(), [&](const ZoneSlots& aZone) {
          return aZone.mZone == pressure.mZone;
        });
      if (zone == zones.end()) {
        missing += kMissingLoad * part.mSlotSeconds / std::max(total, 1e-9);
        continue;
      }
      pressure.mLoad =
        std::max(pressure.mLoad,
                 mLoads.ZoneLoad(aNow, part.mService, pressure.mZone)
                   .value_or(kUnknownLoad));
      if (part.mService == heaviest) {
        pressure.mSlots = zone->mSlots;
      }
    }
    pressure.mLoad += missing;
  }
  return pressures;
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
  const auto pressures = PressuresOf(aNow, aCost);
  // A zone without any servers for the route has no entry.
  double own = kUnknownLoad + kMissingLoad;
  double other_slots = 0;
  for (const Pressure& pressure : pressures) {
    if (pressure.mZone == aOwnZone) {
      own = pressure.mLoad;
    } else {
      other_slots += pressure.mSlots;
    }
  }
  // Each flow grows while its zone is less loaded than the own one, and shrinks
  // otherwise, so that it settles where both are alike. Flows of zones that are
  // no longer known end.
  std::vector<Flow> flows;
  double sum = 0;
  for (const Pressure& pressure : pressures) {
    if (pressure.mZone == aOwnZone || pressure.mSlots <= 0) {
      continue;
    }
    const auto old = std::find_if(
      aRoute.mFlows.begin(), aRoute.mFlows.end(), [&](const Flow& aFlow) {
        return aFlow.mZone == pressure.mZone;
      });
    double difference = own - std::max(mSettings.mBegin, pressure.mLoad);
    if (difference > 0 && difference < mSettings.mDeadband) {
      difference = 0;
    }
    const double step =
      seconds * mSettings.mGain * difference * pressure.mSlots / other_slots;
    const double before = old == aRoute.mFlows.end() ? 0 : old->mShare;
    const double share = std::clamp(before + step, 0.0, 1.0);
    sum += share;
    flows.push_back({ pressure.mZone, share });
  }
  for (Flow& flow : flows) {
    flow.mShare /= std::max(1.0, sum);
  }
  aRoute.mFlows = std::move(flows);
}

} // namespace nutmegrock::overload
