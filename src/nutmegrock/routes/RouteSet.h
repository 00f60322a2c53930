#pragma once

#include "core/Error.h"
#include "routes/Route.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::routes {

/// A route of an operator's document that is not in force because it could not
/// be read.
struct SkippedRoute
{
  std::string mHost;
  /// Begins and ends with a slash; empty if it is not known.
  std::string mPathPrefix;
  std::string mReason;

  bool operator==(const SkippedRoute&) const = default;
};

/// Unvalidated contents of a route set.
struct RouteSetSource
{
  /// Increases with every change; 0 means no version.
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<RouteService> mServices;
  std::vector<Tenant> mTenants;
  /// Requests need the key of a tenant, even if no tenant could be read.
  bool mNeedsKeys = false;
  CallerLimits mLimits;
  std::vector<SkippedRoute> mSkippedRoutes;
  /// Why tenants could not be read, one text for each; without keys.
  std::vector<std::string> mSkippedTenants;

  bool operator==(const RouteSetSource&) const = default;
};

/// Returns the host in lower case without its port.
std::string
NormalizeHost(std::string_view aHost);

/// Returns why RouteSet::Create() refuses the route, whatever the others are,
/// or an empty text.
std::string
FindRouteError(const Route& aRoute, const std::vector<RouteService>& aServices);

/// Returns true if a tenant may have this name. It is sent as the value of a
/// header, so it has no control characters, and no space at its ends.
bool
IsValidTenantName(std::string_view aName);

/// One validated, immutable version of all routes.
class RouteSet
{
public:
  /// Validates the source. Fails with InvalidProfiles and the first error: no
  /// version, a route without name, host, target, timeout or attempt, a prefix
  /// that does not begin and end with a slash, a target that is not among the
  /// services, a weight of 0, two routes with the same name or the same host
  /// and prefix, or a tenant with an invalid name or that of another. A key of
  /// two tenants belongs to the first.
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
  /// True if requests of routes that are not anonymous need a key.
  bool NeedsKeys() const { return mSource.mNeedsKeys; }
  const RouteSetSource& Source() const { return mSource; }

  /// Returns the route of the host with the longest prefix that matches the
  /// path, or null. Ignores the query and the port of the host; host names are
  /// case-insensitive.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;
  /// Returns true if Find() finds no route because that of the longest matching
  /// prefix was skipped.
  bool IsSkipped(std::string_view aHost, std::string_view aTarget) const;
  /// Returns the route of that name, or null.
  const Route* FindByName(std::string_view aName) const;
  /// Returns the tenant with a key of this digest, or null; see
  /// Tenant::mKeyDigests.
  const Tenant* FindTenant(std::string_view aDigest) const;
  /// Returns the tenant of that name, or null.
  const Tenant* FindTenantByName(std::string_view aName) const;

private:
  /// Stands for the position of a route that was skipped.
  static constexpr std::size_t kSkipped = static_cast<std::size_t>(-1);

  explicit RouteSet(RouteSetSource aSource);
  core::Expected<bool> AddRoutes();
  core::Expected<bool> AddTenants();
  /// Position of the route with the longest matching prefix, kSkipped, or
  /// nothing.
  std::optional<std::size_t> PositionOf(std::string_view aHost,
                                        std::string_view aTarget) const;

  RouteSetSource mSource;
  /// By lower-case host, then by prefix.
  std::map<std::string,
           std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
    mByHost;
  std::map<std::string, std::size_t, std::less<>> mByName;
  std::map<std::string, std::size_t, std::less<>> mTenantByDigest;
  std::map<std::string, std::size_t, std::less<>> mTenantByName;
};

using RouteSetPtr = std::shared_ptr<const RouteSet>;

} // namespace nutmegrock::routes
