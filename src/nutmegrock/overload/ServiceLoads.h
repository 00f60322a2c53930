#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "overload/RequestChain.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegrock::overload {

/// Load of a service in one availability zone, as nodes forward it to each
/// other.
struct LoadReport
{
  /// Service, or the name of the calls of one service to another; see
  /// NameOfCalls().
  std::string mService;
  std::string mZone;
  /// Demand as a share of the capacity of the service's servers in the zone.
  double mLoad = 0;
  /// Rank up to which requests are served; see RankCutoff.
  double mCutoff = kOpenRank;
  /// Time since the measurement.
  core::Duration mAge{ 0 };

  bool operator==(const LoadReport&) const = default;
};

/// Name under which the loads of the calls of one service to another are kept,
/// whose number the nodes of the calling service may limit.
std::string
NameOfCalls(std::string_view aCallingService, std::string_view aService);

/// The service of such a name, and the calling service; empty for the name of a
/// service.
std::pair<std::string_view, std::string_view>
ServicesOfName(std::string_view aName);

/// What a node reports of its server, or of the calls of its server to a
/// service.
struct ServerReport
{
  std::string_view mService;
  std::string_view mZone;
  core::Incarnation mServer;
  double mLoad = 0;
  double mCutoff = kOpenRank;
  /// Weight of the cutoff in that of the zone.
  double mWeight = 1;
  /// Work that the server finishes per second, relative to that at the usual
  /// speed with the same slots. Weight of its load in that of the zone.
  double mSpeed = 1;
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
  /// Sets the rank above that of all requests. Higher cutoffs count as this
  /// one, so that a node that serves all does not outweigh the others.
  void SetOpenRank(double aRank) { mOpenRank = aRank; }
  /// A node reported the load of its server.
  void OnServerLoad(core::TimePoint aNow, const ServerReport& aReport);
  /// Another node forwarded a load.
  void OnReport(core::TimePoint aNow, const LoadReport& aReport);
  /// Capacity of the service's servers in the zone: their slots times the mean
  /// speed that they have reported recently. 0 if it has no servers there.
  double Capacity(core::TimePoint aNow,
                  std::string_view aService,
                  std::string_view aZone) const;
  /// Mean load of the service over the zones with a fresh report, weighted by
  /// capacity; nullopt without a fresh report.
  std::optional<double> Load(core::TimePoint aNow,
                             std::string_view aService) const;
  /// Mean cutoff of the service over the zones with a fresh report; kOpenRank
  /// if all requests are served or without a fresh report.
  double Cutoff(core::TimePoint aNow, std::string_view aService) const;
  /// Cutoffs of all services that do not serve all requests.
  std::map<std::string, double, std::less<>> Cutoffs(
    core::TimePoint aNow) const;
  /// Cutoffs of a service by availability zone.
  std::map<std::string, double, std::less<>> ZoneCutoffs(
    core::TimePoint aNow,
    std::string_view aService) const;
  /// Load of the service in one zone; nullopt without a fresh report.
  std::optional<double> ZoneLoad(core::TimePoint aNow,
                                 std::string_view aService,
                                 std::string_view aZone) const;
  /// Fresh loads of the services that have a load of at least aMinLoad, or a
  /// cutoff, in some zone, at most aMaxReports, most loaded services first.
  std::vector<LoadReport> Reports(core::TimePoint aNow,
                                  double aMinLoad,
                                  std::size_t aMaxReports) const;

private:
  struct ServerLoad
  {
    double mLoad = 0;
    double mCutoff = kOpenRank;
    double mWeight = 1;
    double mSpeed = 1;
    core::TimePoint mAt;
  };
  struct Zone
  {
    std::map<core::Incarnation, ServerLoad> mServers;
    /// Moving average of the speeds of its servers.
    double mSpeed = 1;
    core::TimePoint mSpeedAt;
    double mLoad = 0;
    double mCutoff = kOpenRank;
    core::TimePoint mAt;
  };
  struct Service
  {
    std::map<std::string, Zone, std::less<>> mZones;
    std::vector<ZoneSlots> mSlots;
  };

  static double SpeedOf(core::TimePoint aNow, const Zone& aZone);
  static void LearnSpeed(core::TimePoint aNow, double aMean, Zone& aZone);
  static bool IsFresh(core::TimePoint aNow, const Zone& aZone);
  Service& ServiceOf(std::string_view aService);
  double CutoffOf(core::TimePoint aNow, const Service& aService) const;
  Zone& ZoneOf(std::string_view aService, std::string_view aZone);

  double mOpenRank = kOpenRank;
  std::map<std::string, Service, std::less<>> mServices;
};

} // namespace nutmegrock::overload
