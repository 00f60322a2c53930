#pragma once

#include "core/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::routes {

/// How often a request of a route may run.
enum class RouteKind : std::uint8_t
{
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  NonIdempotent,
  /// Runs at most once and has a large body.
  Upload,
  /// May run any number of times and has a large response.
  Download
};

/// "idempotent", "non_idempotent", "upload" or "download".
std::string_view
NameOf(RouteKind aKind);

/// One of the services that receive the requests of a route.
struct RouteTarget
{
  std::string mService;
  /// Relative share of the requests; at least 1.
  std::uint32_t mWeight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/// Configuration of the requests for one host and path prefix. Priority, kind,
/// timeout and attempts replace a profile's importance, idempotence, maximum
/// wait and retry budget.
struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<RouteTarget> mTargets;
  /// Maximum time that a caller waits for the final response.
  std::chrono::milliseconds mTimeout{ 0 };
  /// A response within this time has its full benefit.
  std::chrono::milliseconds mLatencyObjective{ 0 };
  /// Maximum number of backend servers that one request is sent to.
  std::uint32_t mMaxAttempts = 1;
  /// Priority of the requests; 0 is shed last.
  std::uint32_t mPriority = 0;
  /// Requests need no key of a tenant.
  bool mAnonymous = false;

  bool IsIdempotent() const
  {
    return mKind == RouteKind::Idempotent || mKind == RouteKind::Download;
  }
  bool operator==(const Route&) const = default;
};

/// A service that routes may refer to.
struct RouteService
{
  std::string mName;
  std::string mHealthPath;
  /// Maximum number of connections that one backend server accepts from all
  /// callers.
  std::uint32_t mMaxConnections = 0;

  bool operator==(const RouteService&) const = default;
};

/// An organisation whose requests are identified by keys and may be limited.
struct Tenant
{
  std::string mName;
  /// SHA-256 digests of its keys in lower-case hexadecimal; empty after all
  /// keys were revoked.
  std::vector<std::string> mKeyDigests;
  /// Goes before the priority of the route; 0 is shed last.
  std::optional<std::uint32_t> mPriority;
  /// Requests per second over all nodes; 0 for no limit.
  double mRatePerSecond = 0;
  /// Requests that may be saved up in addition.
  double mBurst = 0;

  bool operator==(const Tenant&) const = default;
};

/// Limits on what a caller may send.
struct CallerLimits
{
  std::uint32_t mMaxHeaderBytes = 16'384;
  std::uint64_t mMaxBodyBytes = 67'108'864;
  std::chrono::milliseconds mHeaderTimeout{ 3'000 };
  std::chrono::milliseconds mIdleTimeout{ 15'000 };

  bool operator==(const CallerLimits&) const = default;
};

} // namespace nutmegrock::routes
