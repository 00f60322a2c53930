#pragma once

#include "core/Error.h"
#include "routes/Route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::routes {

/// Unvalidated contents of a route set.
struct RouteSetSource
{
  /// Increases with every change; 0 means no version.
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<RouteService> mServices;
  /// Empty if requests need no keys.
  std::vector<Tenant> mTenants;
  CallerLimits mLimits;

  bool operator==(const RouteSetSource&) const = default;
};

/// One validated, immutable version of all routes.
class RouteSet
{
public:
  /// Validates the source. Fails with InvalidProfiles and the first error: no
  /// version, a route without name, host, target, timeout or attempt, a prefix
  /// that does not begin and end with a slash, a target that is not among the
  /// services, a weight of 0, or two routes with the same name or the same host
  /// and prefix.
  static core::Expected<std::shared_ptr<const RouteSet>> Create(
    RouteSetSource aSource);

  std::uint64_t Version() const { return mSource.mVersion; }
  const CallerLimits& Limits() const { return mSource.mLimits; }
  const std::vector<Route>& Routes() const { return mSource.mRoutes; }
  const std::vector<RouteService>& Services() const
  {
    return mSource.mServices;
  }
  const std::vector<Tenant>& Tenants() const { return mSource.mTenants; }
  const RouteSetSource& Source() const { return mSource; }

  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null. Ignores the query and the port of the host; host names are
  /// case-insensitive.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  /// Returns the route of that name, or null.
  const Route* FindByName(std::string_view aName) const;

private:
  explicit RouteSet(RouteSetSource aSource);

  RouteSetSource mSource;
  /// By lower-case host, then by prefix.
  std::map<std::string,
           std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
    mByHost;
  std::map<std::string, std::size_t, std::less<>> mByName;
};

using RouteSetPtr = std::shared_ptr<const RouteSet>;

} // namespace nutmegrock::routes
