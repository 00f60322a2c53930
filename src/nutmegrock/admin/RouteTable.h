#pragma once

#include "admin/AdminRequest.h"
#include "admin/AdminResponse.h"

#include <functional>
#include <string>
#include <vector>

namespace nutmegrock::admin {

/// An entry of the route table.
struct AdminRoute
{
  /// "GET", "PUT", "POST" or "DELETE".
  std::string mMethod;
  /// Path below the API version, such as "/profiles/versions/{version}".
  std::string mPattern;
  /// Runs on a worker thread of the server; may block.
  std::function<AdminResponse(const AdminRequest&)> mHandler;
};

/// Dispatches requests to the handlers of their routes.
class RouteTable
{
public:
  /// Takes routes below aPrefix. The first match handles a request.
  RouteTable(std::string aPrefix, std::vector<AdminRoute> aRoutes);

  /// Returns the response of the handler; NotFound if no route matches, and
  /// Internal if the handler throws.
  AdminResponse Serve(AdminRequest aRequest) const;

private:
  std::string mPrefix;
  std::vector<AdminRoute> mRoutes;
};

} // namespace nutmegrock::admin
