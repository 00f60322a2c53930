#include "overload/ServiceLoads.h"

#include <algorithm>

namespace nutmegrock::overload {

namespace {

/// Reports older than this say nothing about the present.
constexpr std::chrono::milliseconds kLifetime{ 1'500 };
/// Reports of servers that are averaged.
constexpr std::chrono::milliseconds kServerLifetime{ 700 };
/// A passed-on load replaces the known one when it is newer by this much, so
/// that own observations are preferred.
constexpr std::chrono::milliseconds kNewerBy{ 60 };

} // namespace

void
ServiceLoads::OnServer(core::TimePoint aNow,
                       std::string_view aService,
                       core::Incarnation aServer,
                       double aLoad)
{
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    found = mServices.emplace(aService, Service{}).first;
  }
  Service& service = found->second;
  service.mServers[aServer] = { aLoad, aNow };
  double sum = 0;
  std::size_t count = 0;
  for (auto it = service.mServers.begin(); it != service.mServers.end();) {
    if (aNow - it->second.mAt > kServerLifetime) {
      it = service.mServers.erase(it);
      continue;
    }
    sum += it->second.mLoad;
    ++count;
    ++it;
  }
  service.mLoad = sum / static_cast<double>(count);
  service.mAt = aNow;
}

void
ServiceLoads::OnReport(core::TimePoint aNow, const LoadReport& aReport)
{
  auto found = mServices.find(aReport.mService);
  if (found == mServices.end()) {
    found = mServices.emplace(aReport.mService, Service{}).first;
  }
  Service& service = found->second;
  const core::TimePoint at = aNow - aReport.mAge;
  if (service.mAt == core::TimePoint{} || at > service.mAt + kNewerBy) {
    service.mLoad = aReport.mLoad;
    service.mAt = at;
  }
}

std::optional<double>
ServiceLoads::Load(core::TimePoint aNow, std::string_view aService) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || aNow - found->second.mAt > kLifetime) {
    return std::nullopt;
  }
  return found->second.mLoad;
}

std::vector<LoadReport>
ServiceLoads::Reports(core::TimePoint aNow,
                      double aLeast,
                      std::size_t aMost) const
{
  std::vector<LoadReport> reports;
  for (const auto& [name, service] : mServices) {
    if (service.mLoad >= aLeast && aNow - service.mAt <= kLifetime) {
      reports.push_back({ name, service.mLoad, aNow - service.mAt });
    }
  }
  std::sort(reports.begin(),
            reports.end(),
            [](const LoadReport& aLeft, const LoadReport& aRight) {
              return aLeft.mLoad > aRight.mLoad;
            });
  if (reports.size() > aMost) {
    reports.resize(aMost);
  }
  return reports;
}

} // namespace nutmegrock::overload
