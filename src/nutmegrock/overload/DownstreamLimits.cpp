#include "overload/DownstreamLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace nutmegrock::overload {

namespace {

using Seconds = std::chrono::duration<double>;

/// Older windows are dropped.
constexpr std::chrono::milliseconds kLifetime{ 1'000 };
/// Time constants of the averages of times and of the count of calls.
constexpr Seconds kTimeSmoothing{ 0.1 };
constexpr Seconds kCallSmoothing{ 0.5 };
/// Servers with less than this part of the calls of the most used one do not
/// limit the runs.
constexpr double kMinShare = 0.25;
/// A latency up to this multiple of the run time and this much above it is
/// normal.
constexpr double kNormalFactor = 1.25;
constexpr double kNormalSeconds = 0.01;
/// Time constant of the sums that tell the part of a run spent in calls.
constexpr Seconds kCallShareSmoothing{ 1.0 };
/// Minimum of that part, so that a wrong measurement at most doubles the runs.
constexpr double kMinCallShare = 0.5;
/// Run time without a measurement for which runs count as always in a call, in
/// seconds. The first calls end later than their runs begin.
constexpr double kUnmeasuredSeconds = 2;

double
KeepOf(core::Duration aElapsed, Seconds aTimeConstant)
{
  return std::exp(-Seconds(aElapsed) / aTimeConstant);
}

} // namespace

double
DownstreamLimits::RecentSeconds::At(core::TimePoint aNow) const
{
  return mSeconds * KeepOf(aNow - mAt, kCallShareSmoothing);
}

void
DownstreamLimits::RecentSeconds::Add(core::TimePoint aNow, double aSeconds)
{
  mSeconds = At(aNow) + aSeconds;
  mAt = aNow;
}

DownstreamLimits::Service&
DownstreamLimits::ServiceOf(std::string_view aService)
{
  const auto found = mServices.find(aService);
  return found != mServices.end()
           ? found->second
           : mServices.emplace(aService, Service{}).first->second;
}

void
DownstreamLimits::OnRuns(core::TimePoint aNow,
                         std::string_view aService,
                         std::uint32_t aRuns)
{
  Service& service = ServiceOf(aService);
  if (service.mRunsAt != core::TimePoint{}) {
    service.mInRuns.Add(aNow, Seconds(aNow - service.mRunsAt).count() * aRuns);
  }
  service.mRunsAt = aNow;
}

void
DownstreamLimits::OnResponse(core::TimePoint aNow,
                             const DownstreamResponse& aResponse)
{
  Service& service = ServiceOf(aResponse.mService);
  if (!service.mServers.contains(aResponse.mServer)) {
    RemoveOld(aNow, service.mServers);
  }
  // A call that did not run was in the queue all the time.
  service.mInCalls.Add(aNow,
                       Seconds(aResponse.mRunTime > core::Duration(0)
                                 ? aResponse.mRunTime + aResponse.mQueueTime
                                 : aResponse.mLatency)
                         .count());
  const auto [entry, is_new] =
    service.mServers.try_emplace(aResponse.mServer, Server{});
  Server& server = entry->second;
  const core::Duration elapsed =
    is_new ? core::Duration::max() : aNow - server.mAt;
  server.mWindow = aResponse.mWindow;
  server.mAt = aNow;
  server.mCalls = server.mCalls * KeepOf(elapsed, kCallSmoothing) + 1;
  if (aResponse.mRunTime > core::Duration(0)) {
    const double keep = KeepOf(elapsed, kTimeSmoothing);
    server.mLatency =
      server.mLatency * keep + Seconds(aResponse.mLatency).count() * (1 - keep);
    server.mRunTime =
      server.mRunTime * keep + Seconds(aResponse.mRunTime).count() * (1 - keep);
  }
}

void
DownstreamLimits::RemoveOld(core::TimePoint aNow, Servers& aServers)
{
  std::erase_if(aServers, [aNow](const auto& aEntry) {
    return aNow - aEntry.second.mAt > kLifetime;
  });
}

double
DownstreamLimits::SlowdownOf(const Server& aServer)
{
  return std::max(1.0,
                  aServer.mLatency /
                    (kNormalFactor * aServer.mRunTime + kNormalSeconds));
}

double
DownstreamLimits::CallShareOf(core::TimePoint aNow, const Service& aService)
{
  const double share = (aService.mInCalls.At(aNow) + kUnmeasuredSeconds) /
                       (aService.mInRuns.At(aNow) + kUnmeasuredSeconds);
  return std::clamp(share, kMinCallShare, 1.0);
}

// Calls spread over the servers as they did recently, so the runs reach the
// window of one server first.
std::optional<std::uint32_t>
DownstreamLimits::LimitOf(core::TimePoint aNow, std::string_view aService)
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  Servers& servers = service->second.mServers;
  RemoveOld(aNow, servers);
  const auto recent_calls = [aNow](const Server& aServer) {
    return aServer.mCalls * KeepOf(aNow - aServer.mAt, kCallSmoothing);
  };
  double calls = 0;
  double most = 0;
  for (const auto& [incarnation, server] : servers) {
    calls += recent_calls(server);
    most = std::max(most, recent_calls(server));
  }
  std::optional<double> limit;
  for (const auto& [incarnation, server] : servers) {
    if (server.mWindow > 0 && recent_calls(server) >= kMinShare * most) {
      const double share = recent_calls(server) / calls;
      const double runs = server.mWindow / SlowdownOf(server) / share;
      limit = limit ? std::min(*limit, runs) : runs;
    }
  }
  if (!limit) {
    return std::nullopt;
  }
  constexpr double kMaxLimit = std::numeric_limits<std::uint32_t>::max();
  constexpr double kRounding = 1e-6;
  const double runs = *limit / CallShareOf(aNow, service->second);
  return std::max(1U,
                  static_cast<std::uint32_t>(
                    std::min(kMaxLimit, std::ceil(runs - kRounding))));
}

} // namespace nutmegrock::overload
