#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::routes {

/// What may be done with a request of a route more than once.
enum class RouteKind : std::uint8_t
{
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// Runs at most once and has a large body.
  Upload
};

/// "idempotent", "non_idempotent" or "upload".
std::string_view
NameOf(RouteKind aKind);

/// One of the services that a route sends requests to.
struct RouteTarget
{
  std::string mService;
  /// Relative share of the requests; at least 1.
  std::uint32_t mWeight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// What operators say about the requests of one host and path prefix. Priority,
/// kind, time limit and attempts take the place of a profile's importance,
/// idempotence, longest wait and retry budget.
struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<RouteTarget> mTargets;
  /// Longest time that a caller waits for the final answer.
  std::chrono::milliseconds mTimeout{ 0 };
  /// An answer within this time has its full benefit.
  std::chrono::milliseconds mLatencyObjective{ 0 };
  /// Most backend servers that one request is sent to.
  std::uint32_t mMaxAttempts = 1;
  /// Rank of the work; 0 is shed last.
  std::uint32_t mPriority = 0;

  bool IsIdempotent() const { return mKind == RouteKind::Idempotent; }
  bool operator==(const Route&) const = default;
};

/// A service that routes may name.
struct RouteService
{
  std::string mName;
  std::string mHealthPath;
  /// Connections that one backend server accepts from all callers.
  std::uint32_t mMaxConnections = 0;

  bool operator==(const RouteService&) const = default;
};

/// Bounds of what a caller may send.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 67'108'864;
  std::chrono::milliseconds mHeaderTimeout{ 3'000 };
  std::chrono::milliseconds mIdleTimeout{ 15'000 };

  bool operator==(const CallerLimits&) const = default;
};

} // namespace nutmegrock::routes
