#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

/// Load of a service in one availability zone as one node passes it on to
/// another.
struct LoadReport
{
  std::string mService;
  std::string mZone;
  /// Demand as a share of what the service's servers in the zone can do.
  double mLoad = 0;
  /// Time since it was measured.
  core::Duration mAge{ 0 };

  bool operator==(const LoadReport&) const = default;
};

/// Slots of a service's servers in one availability zone.
struct ZoneSlots
{
  std::string mZone;
  std::uint32_t mSlots = 0;

  bool operator==(const ZoneSlots&) const = default;
};

/// What a node knows about the load of services in each availability zone: from
/// the answers of their servers, and from other nodes, which pass on what they
/// know with their own answers, so that a service that is overloaded is soon
/// known everywhere without messages of its own. Not synchronized.
class ServiceLoads
{
public:
  /// The zones in which the service has serving servers, by the membership.
  /// Loads of other zones no longer count.
  void SetZones(std::string_view aService, std::vector<ZoneSlots> aZones);
  /// Those zones; empty when none are known.
  const std::vector<ZoneSlots>& Zones(std::string_view aService) const;
  /// A server of the service reported its own load.
  void OnServerLoad(core::TimePoint aNow,
                    std::string_view aService,
                    std::string_view aZone,
                    core::Incarnation aServer,
                    double aLoad);
  /// Another node passed a load on.
  void OnReport(core::TimePoint aNow, const LoadReport& aReport);
  /// Load of the service: mean over the zones that are known, by their slots;
  /// nothing when no report is fresh.
  std::optional<double> Load(core::TimePoint aNow,
                             std::string_view aService) const;
  /// Load of the service in one zone; nothing when no report is fresh.
  std::optional<double> ZoneLoad(core::TimePoint aNow,
                                 std::string_view aService,
                                 std::string_view aZone) const;
  /// Fresh loads of the services that have a load of at least aMin in some
  /// zone, at most aMax, heaviest services first.
  std::vector<LoadReport> Reports(core::TimePoint aNow,
                                  double aMin,
                                  std::size_t aMax) const;

private:
  struct ServerLoad
  {
    double mLoad = 0;
    core::TimePoint mAt;
  };
  struct Zone
  {
    std::map<core::Incarnation, ServerLoad> mServers;
    double mLoad = 0;
    core::TimePoint mAt;
  };
  struct Service
  {
    std::map<std::string, Zone, std::less<>> mZones;
    std::vector<ZoneSlots> mSlots;
  };

  static bool IsFresh(core::TimePoint aNow, const Zone& aZone);
  Service& ServiceOf(std::string_view aService);
  Zone& ZoneOf(std::string_view aService, std::string_view aZone);

  std::map<std::string, Service, std::less<>> mServices;
};

} // namespace nutmegrock::overload
