#include "routes/RouteSet.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::routes {

namespace {

/// Returns why a route is invalid regardless of the services, or an empty
/// string.
std::string
FindRouteError(const Route& aRoute)
{
  if (aRoute.mName.empty()) {
    return "has no name";
  }
  if (aRoute.mHost.empty()) {
    return "has no host";
  }
  const std::string& prefix = aRoute.mPathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return fmt::format("has the prefix \"{}\", which must begin and end with /",
                       prefix);
  }
  if (aRoute.mTargets.empty()) {
    return "has no service";
  }
  if (aRoute.mTimeout.count() <= 0) {
    return "has no time limit";
  }
  if (aRoute.mMaxAttempts == 0) {
    return "allows no attempt";
  }
  return {};
}

std::string
FindTargetError(const Route& aRoute, const std::vector<RouteService>& aServices)
{
  for (const RouteTarget& target : aRoute.mTargets) {
    if (target.mWeight == 0) {
      return fmt::format("gives service \"{}\" the weight 0", target.mService);
    }
    const bool known = std::any_of(aServices.begin(),
                                   aServices.end(),
                                   [&target](const RouteService& aService) {
                                     return aService.mName == target.mService;
                                   });
    if (!known) {
      return fmt::format("names service \"{}\", which is not described",
                         target.mService);
    }
  }
  return {};
}

std::string
NormalizeHost(std::string_view aHost)
{
  const auto colon = aHost.find(':');
  return boost::algorithm::to_lower_copy(std::string(aHost.substr(0, colon)));
}

} // namespace

RouteSet::RouteSet(RouteSetSource aSource)
  : mSource(std::move(aSource))
{
}

core::Expected<std::shared_ptr<const RouteSet>>
RouteSet::Create(RouteSetSource aSource)
{
  const auto fail = [](const std::string& aText) {
    return core::Fail(core::ErrorKind::InvalidProfiles, aText);
  };
  if (aSource.mVersion == 0) {
    return fail("the routes have no version");
  }
  std::shared_ptr<RouteSet> set(new RouteSet(std::move(aSource)));
  for (std::size_t i = 0; i < set->mSource.mRoutes.size(); ++i) {
    const Route& route = set->mSource.mRoutes[i];
    std::string error = FindRouteError(route);
    if (error.empty()) {
      error = FindTargetError(route, set->mSource.mServices);
    }
    if (!error.empty()) {
      return fail(fmt::format("route \"{}\" {}", route.mName, error));
    }
    if (!set->mByName.emplace(route.mName, i).second) {
      return fail(fmt::format("two routes are named \"{}\"", route.mName));
    }
    auto& prefixes = set->mByHost[NormalizeHost(route.mHost)];
    if (!prefixes.emplace(route.mPathPrefix, i).second) {
      return fail(fmt::format("two routes have host \"{}\" and prefix \"{}\"",
                              route.mHost,
                              route.mPathPrefix));
    }
  }
  return set;
}

const Route*
RouteSet::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = mByHost.find(NormalizeHost(aHost));
  if (host == mByHost.end()) {
    return nullptr;
  }
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  // Each prefix ends with a slash, so only path prefixes that do can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/')) {
    const auto found = host->second.find(path.substr(0, end + 1));
    if (found != host->second.end()) {
      return &mSource.mRoutes[found->second];
    }
    path = path.substr(0, end);
  }
  return nullptr;
}

const Route*
RouteSet::FindByName(std::string_view aName) const
{
  const auto found = mByName.find(aName);
  return found == mByName.end() ? nullptr : &mSource.mRoutes[found->second];
}

} // namespace nutmegrock::routes
