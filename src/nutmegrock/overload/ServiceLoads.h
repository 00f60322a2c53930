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

/// Load of a service in one availability zone, as nodes forward it to each
/// other.
struct LoadReport
{
  std::string mService;
  std::string mZone;
  /// Demand as a share of the capacity of the service's servers in the zone.
  double mLoad = 0;
  /// Time since the measurement.
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

/// Load of each service per availability zone, from the responses of its
/// servers and from loads that other nodes forward with their own responses, so
/// that an overload becomes known everywhere without extra messages. Not
/// synchronized.
class ServiceLoads
{
public:
  /// Sets the zones in which the service has serving servers, according to the
  /// membership. Only Load() ignores other zones.
  void SetZones(std::string_view aService, std::vector<ZoneSlots> aZones);
  /// The zones set by SetZones(); empty when unknown.
  const std::vector<ZoneSlots>& Zones(std::string_view aService) const;
  /// A server of the service reported its own load.
  void OnServerLoad(core::TimePoint aNow,
                    std::string_view aService,
                    std::string_view aZone,
                    core::Incarnation aServer,
                    double aLoad);
  /// Another node forwarded a load.
  void OnReport(core::TimePoint aNow, const LoadReport& aReport);
  /// Mean load of the service over the zones with a fresh report, weighted by
  /// slots; nullopt without a fresh report.
  std::optional<double> Load(core::TimePoint aNow,
                             std::string_view aService) const;
  /// Load of the service in one zone; nullopt without a fresh report.
  std::optional<double> ZoneLoad(core::TimePoint aNow,
                                 std::string_view aService,
                                 std::string_view aZone) const;
  /// Fresh loads of the services that have a load of at least aMinLoad in some
  /// zone, at most aMaxReports, most loaded services first.
  std::vector<LoadReport> Reports(core::TimePoint aNow,
                                  double aMinLoad,
                                  std::size_t aMaxReports) const;

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
