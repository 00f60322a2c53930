#include "routes/RouteSet.h"

#include <algorithm>
#include <boost/algorithm/string/case_conv.hpp>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::routes {

namespace {

/// Maximum length of a tenant's name in bytes, so that requests between nodes,
/// which carry it, stay within the limit on headers.
constexpr std::size_t kMaxTenantName = 256;

/// Returns why a route is invalid regardless of the services, or an empty
/// string.
std::string
FindFieldError(const Route& aRoute)
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

tl::unexpected<core::Error>
Invalid(const std::string& aText)
{
  return core::Fail(core::ErrorKind::InvalidProfiles, aText);
}

} // namespace

std::string
NormalizeHost(std::string_view aHost)
{
  const auto colon = aHost.find(':');
  return boost::algorithm::to_lower_copy(std::string(aHost.substr(0, colon)));
}

std::string
FindRouteError(const Route& aRoute, const std::vector<RouteService>& aServices)
{
  std::string error = FindFieldError(aRoute);
  return error.empty() ? FindTargetError(aRoute, aServices) : error;
}

bool
IsValidTenantName(std::string_view aName)
{
  constexpr unsigned char kDelete = 0x7f;
  const bool printable =
    std::all_of(aName.begin(), aName.end(), [](unsigned char aByte) {
      return aByte >= ' ' && aByte != kDelete;
    });
  return printable && !aName.empty() && aName.size() <= kMaxTenantName &&
         aName.front() != ' ' && aName.back() != ' ';
}

RouteSet::RouteSet(RouteSetSource aSource)
  : mSource(std::move(aSource))
{
}

core::Expected<std::shared_ptr<const RouteSet>>
RouteSet::Create(RouteSetSource aSource)
{
  if (aSource.mVersion == 0) {
    return Invalid("the routes have no version");
  }
  std::shared_ptr<RouteSet> set(new RouteSet(std::move(aSource)));
  if (auto added = set->AddRoutes(); !added) {
    return tl::make_unexpected(std::move(added.error()));
  }
  if (auto added = set->AddTenants(); !added) {
    return tl::make_unexpected(std::move(added.error()));
  }
  return set;
}

core::Expected<bool>
RouteSet::AddRoutes()
{
  for (std::size_t i = 0; i < mSource.mRoutes.size(); ++i) {
    const Route& route = mSource.mRoutes[i];
    const std::string error = FindRouteError(route, mSource.mServices);
    if (!error.empty()) {
      return Invalid(fmt::format("route \"{}\" {}", route.mName, error));
    }
    if (!mByName.emplace(route.mName, i).second) {
      return Invalid(fmt::format("two routes are named \"{}\"", route.mName));
    }
    auto& prefixes = mByHost[NormalizeHost(route.mHost)];
    if (!prefixes.emplace(route.mPathPrefix, i).second) {
      return Invalid(
        fmt::format("two routes have host \"{}\" and prefix \"{}\"",
                    route.mHost,
                    route.mPathPrefix));
    }
  }
  for (const SkippedRoute& route : mSource.mSkippedRoutes) {
    if (!route.mPathPrefix.empty()) {
      mByHost[NormalizeHost(route.mHost)].emplace(route.mPathPrefix, kSkipped);
    }
  }
  return true;
}

core::Expected<bool>
RouteSet::AddTenants()
{
  mSource.mNeedsKeys = mSource.mNeedsKeys || !mSource.mTenants.empty();
  for (std::size_t i = 0; i < mSource.mTenants.size(); ++i) {
    const Tenant& tenant = mSource.mTenants[i];
    if (!IsValidTenantName(tenant.mName)) {
      return Invalid(fmt::format("tenant {} has an invalid name", i));
    }
    if (!mTenantByName.emplace(tenant.mName, i).second) {
      return Invalid(fmt::format("two tenants are named \"{}\"", tenant.mName));
    }
    for (const std::string& digest : tenant.mKeyDigests) {
      mTenantByDigest.emplace(digest, i);
    }
  }
  return true;
}

std::optional<std::size_t>
RouteSet::PositionOf(std::string_view aHost, std::string_view aTarget) const
{
  const auto host = mByHost.find(NormalizeHost(aHost));
  if (host == mByHost.end()) {
    return std::nullopt;
  }
  std::string_view path = aTarget.substr(0, aTarget.find('?'));
  // Each prefix ends with a slash, so only path prefixes that do can match.
  for (auto end = path.rfind('/'); end != std::string_view::npos;
       end = path.rfind('/')) {
    const auto found = host->second.find(path.substr(0, end + 1));
    if (found != host->second.end()) {
      return found->second;
    }
    path = path.substr(0, end);
  }
  return std::nullopt;
}

const Route*
RouteSet::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto position = PositionOf(aHost, aTarget);
  return position && *position != kSkipped ? &mSource.mRoutes[*position]
                                           : nullptr;
}

bool
RouteSet::IsSkipped(std::string_view aHost, std::string_view aTarget) const
{
  return PositionOf(aHost, aTarget) == kSkipped;
}

const Route*
RouteSet::FindByName(std::string_view aName) const
{
  const auto found = mByName.find(aName);
  return found == mByName.end() ? nullptr : &mSource.mRoutes[found->second];
}

const Tenant*
RouteSet::FindTenant(std::string_view aDigest) const
{
  const auto found = mTenantByDigest.find(aDigest);
  return found == mTenantByDigest.end() ? nullptr
                                        : &mSource.mTenants[found->second];
}

const Tenant*
RouteSet::FindTenantByName(std::string_view aName) const
{
  const auto found = mTenantByName.find(aName);
  return found == mTenantByName.end() ? nullptr
                                      : &mSource.mTenants[found->second];
}

} // namespace nutmegrock::routes
