#pragma once

#include "admin/AdminRequest.h"
#include "admin/AdminResponse.h"

#include <functional>
#include <string>
#include <vector>

namespace nutmegrock::admin {

/// One entry of the table of routes.
struct AdminRoute
{
  /// "GET", "PUT", "POST" or "DELETE".
  std::string mMethod;
  /// Path below the API version, such as "/profiles/versions/{version}".
  std::string mPattern;
  /// Runs on a worker thread of the server and may block.
  std::function<AdminResponse(const AdminRequest&)> mHandler;
};

/// Finds the route of a request and runs it.
class RouteTable
{
public:
  /// Routes below aPrefix. The first that matches is taken.
  RouteTable(std::string aPrefix, std::vector<AdminRoute> aRoutes);

  /// The handler's answer; NotFound when no route matches, and Internal when
  /// the handler throws.
  AdminResponse Serve(AdminRequest aRequest) const;

private:
  std::string mPrefix;
  std::vector<AdminRoute> mRoutes;
};

} // namespace nutmegrock::admin
