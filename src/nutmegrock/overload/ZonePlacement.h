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
  /// Load of the most loaded service below a route in the own zone from which
  /// on whole requests leave the zone. It is lower than the load at which
  /// single calls leave, so that whole requests are moved first.
  double mMinLoad = 0.85;
  /// Change of the total share sent to other zones, per second and per unit of
  /// load by which they are below the own zone. The effect of a step shows in
  /// the loads after about 0.5 s.
  double mGain = 1.0;
  /// Smaller differences of load are ignored as noise.
  double mDeadband = 0.05;
  /// Minimum time between two updates from the loads.
  core::Duration mUpdateInterval = std::chrono::milliseconds{ 50 };
};

/// Chooses the availability zone in which a request runs with all its calls.
/// Nested calls stay in that zone while it has capacity, so placing the whole
/// request where the deep service has capacity crosses zones once, instead of
/// once per nested call. Not synchronized.
class ZonePlacement
{
public:
  /// Both must outlive this object.
  ZonePlacement(const RouteCosts& aCosts,
                const ServiceLoads& aLoads,
                ZonePlacementSettings aSettings = {});

  /// The zone for a request of the route: aOwnZone unless the services below
  /// the route are more loaded there than elsewhere. aHash is the hash of the
  /// request identity.
  const std::string& Place(core::TimePoint aNow,
                           std::string_view aRoute,
                           std::uint64_t aHash,
                           const std::string& aOwnZone);

private:
  /// Share of a route's requests that is sent to another zone.
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
  /// Load and slots of one zone for a route.
  struct ZoneState
  {
    std::string mZone;
    double mSlots = 0;
    double mLoad = 0;
  };

  void Update(core::TimePoint aNow,
              const RouteCost& aCost,
              std::string_view aOwnZone,
              Route& aRoute) const;
  std::vector<ZoneState> ZonesOf(const RouteCost& aCost) const;
  std::vector<ZoneState> ZoneStatesOf(core::TimePoint aNow,
                                      const RouteCost& aCost) const;

  const RouteCosts& mCosts;
  const ServiceLoads& mLoads;
  const ZonePlacementSettings mSettings;
  std::map<std::string, Route, std::less<>> mRoutes;
};

} // namespace nutmegrock::overload
