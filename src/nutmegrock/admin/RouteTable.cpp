#include "admin/RouteTable.h"

#include <cpprest/uri.h>
#include <optional>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmegrock::admin {

namespace {

/// Returns the values of the pattern variables if the path matches the pattern.
std::optional<AdminRequest::Values>
Match(const std::string& aPattern, const std::string& aPath)
{
  const auto pattern = web::uri::split_path(aPattern);
  const auto path = web::uri::split_path(aPath);
  if (pattern.size() != path.size()) {
    return std::nullopt;
  }
  AdminRequest::Values variables;
  for (std::size_t i = 0; i < pattern.size(); ++i) {
    if (pattern[i].starts_with('{') && pattern[i].ends_with('}')) {
      variables[pattern[i].substr(1, pattern[i].size() - 2)] =
        web::uri::decode(path[i]);
    } else if (pattern[i] != path[i]) {
      return std::nullopt;
    }
  }
  return variables;
}

} // namespace

RouteTable::RouteTable(std::string aPrefix, std::vector<AdminRoute> aRoutes)
  : mPrefix(std::move(aPrefix))
  , mRoutes(std::move(aRoutes))
{
}

AdminResponse
RouteTable::Serve(AdminRequest aRequest) const
{
  try {
    for (const AdminRoute& route : mRoutes) {
      if (route.mMethod != aRequest.mMethod) {
        continue;
      }
      if (auto variables = Match(mPrefix + route.mPattern, aRequest.mPath)) {
        aRequest.mVariables = std::move(*variables);
        return route.mHandler(aRequest);
      }
    }
  } catch (const web::uri_exception& exception) {
    return AdminResponse::Error(
      core::MakeError(core::ErrorKind::BadRequest, exception.what()));
  } catch (const std::exception& exception) {
    spdlog::error(
      "{} {}: {}", aRequest.mMethod, aRequest.mPath, exception.what());
    return AdminResponse::Error(
      core::MakeError(core::ErrorKind::Internal, exception.what()));
  }
  return AdminResponse::Error(core::MakeError(
    core::ErrorKind::NotFound,
    fmt::format(
      "{} {} is not part of the API", aRequest.mMethod, aRequest.mPath)));
}

} // namespace nutmegrock::admin
