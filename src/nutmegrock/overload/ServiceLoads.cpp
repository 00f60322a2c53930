#include "overload/ServiceLoads.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Maximum age of a zone's load.
constexpr std::chrono::milliseconds kLifetime{ 1'500 };
/// Maximum age of server reports included in the average.
constexpr std::chrono::milliseconds kServerLifetime{ 700 };
/// A forwarded load replaces the known one only if it is newer by this much, so
/// that own observations take precedence.
constexpr std::chrono::milliseconds kForwardingMargin{ 60 };
/// Maximum number of zones of a service; when exceeded, all are dropped and
/// learned again. The design has 25.
constexpr std::size_t kMaxZones = 64;
/// Time constant of the moving average of a zone's speed. The speeds of single
/// servers are averaged over zones, whose capacity changes slowly.
constexpr std::chrono::seconds kSpeedSmoothing{ 1 };
/// Time after which the speed of a zone without reports is the usual one.
constexpr std::chrono::seconds kSpeedLifetime{ 30 };
constexpr char kCallsSeparator = '<';

/// Slots of the service in the zone; 0 if it has no servers there.
double
SlotsIn(const std::vector<ZoneSlots>& aZones, std::string_view aZone)
{
  for (const ZoneSlots& zone : aZones) {
    if (zone.mZone == aZone) {
      return zone.mSlots;
    }
  }
  // Until the membership is known all zones have equal weight.
  return aZones.empty() ? 1 : 0;
}

} // namespace

std::string
NameOfCalls(std::string_view aCallingService, std::string_view aService)
{
  std::string name(aService);
  name += kCallsSeparator;
  name += aCallingService;
  return name;
}

std::pair<std::string_view, std::string_view>
ServicesOfName(std::string_view aName)
{
  const std::size_t separator = aName.find(kCallsSeparator);
  return separator == std::string_view::npos
           ? std::pair{ aName, std::string_view() }
           : std::pair{ aName.substr(0, separator),
                        aName.substr(separator + 1) };
}

bool
ServiceLoads::IsFresh(core::TimePoint aNow, const Zone& aZone)
{
  return aZone.mAt != core::TimePoint{} && aNow - aZone.mAt <= kLifetime;
}

ServiceLoads::Service&
ServiceLoads::ServiceOf(std::string_view aService)
{
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    found = mServices.emplace(aService, Service{}).first;
  }
  return found->second;
}

ServiceLoads::Zone&
ServiceLoads::ZoneOf(std::string_view aService, std::string_view aZone)
{
  auto& zones = ServiceOf(aService).mZones;
  auto found = zones.find(aZone);
  if (found == zones.end()) {
    if (zones.size() >= kMaxZones) {
      zones.clear();
    }
    found = zones.emplace(aZone, Zone{}).first;
  }
  return found->second;
}

void
ServiceLoads::SetZones(std::string_view aService, std::vector<ZoneSlots> aZones)
{
  ServiceOf(aService).mSlots = std::move(aZones);
}

const std::vector<ZoneSlots>&
ServiceLoads::Zones(std::string_view aService) const
{
  static const std::vector<ZoneSlots> sEmpty;
  const auto found = mServices.find(aService);
  return found == mServices.end() ? sEmpty : found->second.mSlots;
}

void
ServiceLoads::OnServerLoad(core::TimePoint aNow, const ServerReport& aReport)
{
  Zone& zone = ZoneOf(aReport.mService, aReport.mZone);
  zone.mServers[aReport.mServer] = {
    aReport.mLoad, aReport.mCutoff, aReport.mWeight, aReport.mSpeed, aNow
  };
  double loads = 0;
  double speeds = 0;
  double cutoffs = 0;
  double weights = 0;
  std::size_t count = 0;
  for (auto it = zone.mServers.begin(); it != zone.mServers.end();) {
    const ServerLoad& server = it->second;
    if (aNow - server.mAt > kServerLifetime) {
      it = zone.mServers.erase(it);
      continue;
    }
    const double weight = server.mWeight * server.mSpeed;
    loads += server.mSpeed * server.mLoad;
    speeds += server.mSpeed;
    cutoffs += weight * std::min(mOpenRank, server.mCutoff);
    weights += weight;
    ++count;
    ++it;
  }
  zone.mLoad = loads / speeds;
  LearnSpeed(aNow, speeds / static_cast<double>(count), zone);
  zone.mCutoff = weights > 0 ? cutoffs / weights : kOpenRank;
  zone.mAt = aNow;
}

void
ServiceLoads::OnReport(core::TimePoint aNow, const LoadReport& aReport)
{
  Zone& zone = ZoneOf(aReport.mService, aReport.mZone);
  const core::TimePoint at = aNow - aReport.mAge;
  if (zone.mAt == core::TimePoint{} || at > zone.mAt + kForwardingMargin) {
    zone.mLoad = aReport.mLoad;
    zone.mCutoff = aReport.mCutoff;
    zone.mAt = at;
  }
}

double
ServiceLoads::SpeedOf(core::TimePoint aNow, const Zone& aZone)
{
  return aZone.mSpeedAt == core::TimePoint{} ||
             aNow - aZone.mSpeedAt > kSpeedLifetime
           ? 1
           : aZone.mSpeed;
}

void
ServiceLoads::LearnSpeed(core::TimePoint aNow, double aMean, Zone& aZone)
{
  const double keep =
    aZone.mSpeedAt == core::TimePoint{}
      ? 0
      : std::exp(-(std::chrono::duration<double>(aNow - aZone.mSpeedAt) /
                   kSpeedSmoothing));
  aZone.mSpeed = aMean + (aZone.mSpeed - aMean) * keep;
  aZone.mSpeedAt = aNow;
}

double
ServiceLoads::Capacity(core::TimePoint aNow,
                       std::string_view aService,
                       std::string_view aZone) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || found->second.mSlots.empty()) {
    return 0;
  }
  const auto zone = found->second.mZones.find(aZone);
  const double speed =
    zone == found->second.mZones.end() ? 1 : SpeedOf(aNow, zone->second);
  return speed * SlotsIn(found->second.mSlots, aZone);
}

std::optional<double>
ServiceLoads::Load(core::TimePoint aNow, std::string_view aService) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return std::nullopt;
  }
  double sum = 0;
  double slots = 0;
  for (const auto& [name, zone] : found->second.mZones) {
    const double weight =
      SlotsIn(found->second.mSlots, name) * SpeedOf(aNow, zone);
    if (IsFresh(aNow, zone)) {
      sum += weight * zone.mLoad;
      slots += weight;
    }
  }
  if (slots <= 0) {
    return std::nullopt;
  }
  return sum / slots;
}

double
ServiceLoads::Cutoff(core::TimePoint aNow, std::string_view aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? kOpenRank : CutoffOf(aNow, found->second);
}

std::map<std::string, double, std::less<>>
ServiceLoads::Cutoffs(core::TimePoint aNow) const
{
  std::map<std::string, double, std::less<>> cutoffs;
  for (const auto& [name, service] : mServices) {
    const double cutoff = CutoffOf(aNow, service);
    if (cutoff < kOpenRank) {
      cutoffs.emplace(name, cutoff);
    }
  }
  return cutoffs;
}

std::map<std::string, double, std::less<>>
ServiceLoads::ZoneCutoffs(core::TimePoint aNow, std::string_view aService) const
{
  std::map<std::string, double, std::less<>> cutoffs;
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    for (const auto& [name, zone] : found->second.mZones) {
      if (IsFresh(aNow, zone)) {
        cutoffs.emplace(name, zone.mCutoff);
      }
    }
  }
  return cutoffs;
}

double
ServiceLoads::CutoffOf(core::TimePoint aNow, const Service& aService) const
{
  const bool has_cutoff = std::any_of(
    aService.mZones.begin(), aService.mZones.end(), [this](const auto& aEntry) {
      return aEntry.second.mCutoff < mOpenRank;
    });
  if (!has_cutoff) {
    return kOpenRank;
  }
  double sum = 0;
  double slots = 0;
  for (const auto& [name, zone] : aService.mZones) {
    if (IsFresh(aNow, zone)) {
      const double weight =
        SlotsIn(aService.mSlots, name) * SpeedOf(aNow, zone);
      sum += weight * std::min(mOpenRank, zone.mCutoff);
      slots += weight;
    }
  }
  constexpr double kRounding = 1e-3;
  return slots <= 0 || sum / slots >= mOpenRank - kRounding ? kOpenRank
                                                            : sum / slots;
}

std::optional<double>
ServiceLoads::ZoneLoad(core::TimePoint aNow,
                       std::string_view aService,
                       std::string_view aZone) const
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  const auto zone = service->second.mZones.find(aZone);
  if (zone == service->second.mZones.end() || !IsFresh(aNow, zone->second)) {
    return std::nullopt;
  }
  return zone->second.mLoad;
}

std::vector<LoadReport>
ServiceLoads::Reports(core::TimePoint aNow,
                      double aMinLoad,
                      std::size_t aMaxReports) const
{
  struct LoadedService
  {
    bool mHasCutoff = false;
    double mMax = 0;
    const std::string* mName = nullptr;
    const Service* mService = nullptr;
  };
  std::vector<LoadedService> loaded;
  for (const auto& [name, service] : mServices) {
    LoadedService entry{ false, 0, &name, &service };
    for (const auto& [zone_name, zone] : service.mZones) {
      if (IsFresh(aNow, zone)) {
        entry.mMax = std::max(entry.mMax, zone.mLoad);
        entry.mHasCutoff = entry.mHasCutoff || zone.mCutoff < mOpenRank;
      }
    }
    if (entry.mMax >= aMinLoad || entry.mHasCutoff) {
      loaded.push_back(entry);
    }
  }
  std::sort(loaded.begin(),
            loaded.end(),
            [](const LoadedService& aLeft, const LoadedService& aRight) {
              return std::pair(aLeft.mHasCutoff, aLeft.mMax) >
                     std::pair(aRight.mHasCutoff, aRight.mMax);
            });
  std::vector<LoadReport> reports;
  for (const LoadedService& entry : loaded) {
    for (const auto& [zone_name, zone] : entry.mService->mZones) {
      if (IsFresh(aNow, zone) && reports.size() < aMaxReports) {
        reports.push_back({ *entry.mName,
                            zone_name,
                            zone.mLoad,
                            zone.mCutoff,
                            aNow - zone.mAt });
      }
    }
  }
  return reports;
}

} // namespace nutmegrock::overload
