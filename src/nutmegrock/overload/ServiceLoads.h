#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::overload {

/// Load of a service as one node passes it on to another.
struct LoadReport
{
  std::string mService;
  /// Running and waiting calls as a share of the calls that may run at once,
  /// over all backend servers of the service.
  double mLoad = 0;
  /// Time since it was measured.
  core::Duration mAge{ 0 };

  bool operator==(const LoadReport&) const = default;
};

/// What a node knows about the load of services: from the answers of their
/// servers, and from other nodes, which pass on what they know with their own
/// answers, so that a service that is overloaded is soon known everywhere
/// without messages of its own. Not synchronized.
class ServiceLoads
{
public:
  /// A server of the service reported its own load.
  void OnServer(core::TimePoint aNow,
                std::string_view aService,
                core::Incarnation aServer,
                double aLoad);
  /// Another node passed a load on.
  void OnReport(core::TimePoint aNow, const LoadReport& aReport);
  /// Load of the service; nothing when no report is fresh.
  std::optional<double> Load(core::TimePoint aNow,
                             std::string_view aService) const;
  /// Fresh loads of at least aLeast, heaviest first, at most aMost.
  std::vector<LoadReport> Reports(core::TimePoint aNow,
                                  double aLeast,
                                  std::size_t aMost) const;

private:
  struct ServerLoad
  {
    double mLoad = 0;
    core::TimePoint mAt;
  };
  struct Service
  {
    std::map<core::Incarnation, ServerLoad> mServers;
    double mLoad = 0;
    core::TimePoint mAt;
  };

  std::map<std::string, Service, std::less<>> mServices;
};

} // namespace nutmegrock::overload
