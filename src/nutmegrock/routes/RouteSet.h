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

/// What a set of routes is made of.
struct RouteSetSource
{
  /// Rises with every change; 0 is no version.
  std::uint64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<RouteService> mServices;
  CallerLimits mLimits;

  bool operator==(const RouteSetSource&) const = default;
};

/// One valid, immutable version of all routes.
class RouteSet
{
public:
  /// Checks the source. Fails with InvalidProfiles and the first fault: no
  /// version, a route without name, host, target, time limit or attempt, a
  /// prefix that does not begin and end with a slash, a target that is not
  /// among the services, a weight of 0, or two routes with the same name or the
  /// same host and prefix.
  static core::Expected<std::shared_ptr<const RouteSet>> Create(
    RouteSetSource aSource);

  std::uint64_t Version() const { return mSource.mVersion; }
  const CallerLimits& Limits() const { return mSource.mLimits; }
  const std::vector<Route>& Routes() const { return mSource.mRoutes; }
  const std::vector<RouteService>& Services() const
  {
    return mSource.mServices;
  }
  const RouteSetSource& Source() const { return mSource; }

  /// The route of the host with the longest prefix that begins the path, or
  /// null. The query and the port of the host are ignored; host names are
  /// compared without case.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

private:
  explicit RouteSet(RouteSetSource aSource);

  RouteSetSource mSource;
  /// By host in lower case, then by prefix.
  std::map<std::string,
           std::map<std::string, std::size_t, std::less<>>,
           std::less<>>
    mByHost;
  std::map<std::string, std::size_t, std::less<>> mByName;
};

using RouteSetPtr = std::shared_ptr<const RouteSet>;

} // namespace nutmegrock::routes
