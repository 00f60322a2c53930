#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::overload {

/// A response to a call to another service.
struct DownstreamResponse
{
  std::string_view mService;
  core::Incarnation mServer;
  /// See CallerWindows; 0 if unknown.
  std::uint32_t mWindow = 0;
  /// Time of the call without the time in the queue of the serving node, and
  /// the part of it at the backend server; zero if it did not run.
  core::Duration mLatency{ 0 };
  core::Duration mRunTime{ 0 };
  /// Time in the queue of the serving node.
  core::Duration mQueueTime{ 0 };
};

/// Limits how many runs of the local backend server that call a service are in
/// progress, by the windows that the nodes of that service report. A run waits
/// for its calls, so its number bounds the calls that wait at the service:
/// requests then wait where they have not used it yet, and those that have
/// begun to use it go on without waiting. Not synchronized.
class DownstreamLimits
{
public:
  void OnResponse(core::TimePoint aNow, const DownstreamResponse& aResponse);
  /// Number of runs in progress that call the service. To be called every 20
  /// ms.
  void OnRuns(core::TimePoint aNow,
              std::string_view aService,
              std::uint32_t aRuns);
  /// Maximum number of runs that call the service; nullopt without a recent
  /// response.
  std::optional<std::uint32_t> LimitOf(core::TimePoint aNow,
                                       std::string_view aService);

private:
  struct Server
  {
    std::uint32_t mWindow = 0;
    core::TimePoint mAt;
    /// Moving averages in seconds.
    double mLatency = 0;
    double mRunTime = 0;
    /// Recent calls, decaying.
    double mCalls = 0;
  };
  using Servers = std::map<core::Incarnation, Server>;
  /// A sum in seconds that decays.
  struct RecentSeconds
  {
    double mSeconds = 0;
    core::TimePoint mAt;

    void Add(core::TimePoint aNow, double aSeconds);
    double At(core::TimePoint aNow) const;
  };
  struct Service
  {
    Servers mServers;
    /// Time that calls spent at the servers, and that runs were in progress.
    RecentSeconds mInCalls;
    RecentSeconds mInRuns;
    core::TimePoint mRunsAt;
  };

  Service& ServiceOf(std::string_view aService);

  /// Removes servers without a recent response.
  static void RemoveOld(core::TimePoint aNow, Servers& aServers);

  /// Factor by which calls take longer than the server and the network usually
  /// need, because a link or a node is the bottleneck.
  static double SlowdownOf(const Server& aServer);
  /// Part of the time of a run during which one of its calls is at a server.
  static double CallShareOf(core::TimePoint aNow, const Service& aService);

  std::map<std::string, Service, std::less<>> mServices;
};

} // namespace nutmegrock::overload
