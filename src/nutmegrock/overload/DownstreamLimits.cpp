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

double
KeepOf(core::Duration aElapsed, Seconds aTimeConstant)
{
  return std::exp(-Seconds(aElapsed) / aTimeConstant);
}

} // namespace

void
DownstreamLimits::OnResponse(core::TimePoint aNow,
                             const DownstreamResponse& aResponse)
{
  auto service = mServices.find(aResponse.mService);
  if (service == mServices.end()) {
    service = mServices.emplace(aResponse.mService, Servers{}).first;
  }
  if (!service->second.contains(aResponse.mServer)) {
    RemoveOld(aNow, service->second);
  }
  const auto [entry, is_new] =
    service->second.try_emplace(aResponse.mServer, Server{});
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

// Calls spread over the servers as they did recently, so the runs reach the
// window of one server first.
std::optional<std::uint32_t>
DownstreamLimits::LimitOf(core::TimePoint aNow, std::string_view aService)
{
  const auto service = mServices.find(aService);
  if (service == mServices.end()) {
    return std::nullopt;
  }
  RemoveOld(aNow, service->second);
  const auto recent_calls = [aNow](const Server& aServer) {
    return aServer.mCalls * KeepOf(aNow - aServer.mAt, kCallSmoothing);
  };
  double calls = 0;
  double most = 0;
  for (const auto& [incarnation, server] : service->second) {
    calls += recent_calls(server);
    most = std::max(most, recent_calls(server));
  }
  std::optional<double> limit;
  for (const auto& [incarnation, server] : service->second) {
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
  return std::max(1U,
                  static_cast<std::uint32_t>(
                    std::min(kMaxLimit, std::ceil(*limit - kRounding))));
}

} // namespace nutmegrock::overload
