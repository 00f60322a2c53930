#pragma once

#include "core/Time.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

struct ZonePlacementSettings
{
  /// Load of the heaviest service below a route, in the own zone, from which on
  /// whole requests leave the zone. Below the load at which single calls leave
  /// it, so that whole requests go first.
  double mBegin = 0.85;
  /// Change of the share that goes to all other zones together for each second
  /// and each unit of load that they are below the own zone. A step shows in
  /// the loads after about half a second.
  double mGain = 1.0;
  /// Smaller differences of load are noise.
  double mDeadband = 0.05;
  /// Time between two looks at the loads.
  core::Duration mEvery = std::chrono::milliseconds{ 50 };
};

/// Chooses the availability zone in which a request runs with all its calls.
/// They stay in its zone as long as there is room, so a request that is placed
/// where the deep service has room crosses zones once, where its calls would
/// cross many times. Not synchronized.
class ZonePlacement
{
public:
  /// Both must outlive it.
  ZonePlacement(const RouteCosts& aCosts,
                const ServiceLoads& aLoads,
                ZonePlacementSettings aSettings = {});

  /// The zone for a request of the route; aOwnZone unless the services below
  /// the route are more loaded there than elsewhere. aHash: hash of the
  /// request's identity.
  const std::string& Place(core::TimePoint aNow,
                           std::string_view aRoute,
                           std::uint64_t aHash,
                           const std::string& aOwnZone);

private:
  /// Share of a route's requests that goes to another zone.
  struct Flow
  {
    std::string mZone;
    double mShare = 0;
  };
  struct Route
  {
    core::TimePoint mUpdatedAt;
    std::vector<Flow> mFlows;
  };
  /// Load and room of one zone for a route.
  struct Pressure
  {
    std::string mZone;
    double mSlots = 0;
    double mLoad = 0;
  };

  void Update(core::TimePoint aNow,
              const RouteCost& aCost,
              std::string_view aOwnZone,
              Route& aRoute) const;
  std::vector<Pressure> ZonesOf(const RouteCost& aCost) const;
  std::vector<Pressure> PressuresOf(core::TimePoint aNow,
                                    const RouteCost& aCost) const;

  const RouteCosts& mCosts;
  const ServiceLoads& mLoads;
  const ZonePlacementSettings mSettings;
  std::map<std::string, Route, std::less<>> mRoutes;
};

} // namespace nutmegrock::overload
