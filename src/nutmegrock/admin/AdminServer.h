#pragma once

#include "admin/AdminAnswer.h"
#include "admin/AdminRequest.h"
#include "core/Address.h"
#include "core/Error.h"

#include <cstddef>
#include <functional>
#include <memory>
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
  std::function<AdminAnswer(const AdminRequest&)> mHandler;
};

/// HTTP server of the administration API, below the versioned path /v1.
/// Handlers run on worker threads of the server: on the threads of cpprestsdk's
/// pool a handler that waits for the store would hold the threads which the
/// store's answers need.
class AdminServer
{
public:
  /// Path of this version of the API.
  static constexpr const char* kVersionPath = "/v1";

  struct Settings
  {
    core::Address mListen;
    /// Longest request body, in bytes.
    std::size_t mMaxBody = 2 * 1024 * 1024;
    std::size_t mWorkers = 2;
    /// Requests waiting for a worker before further ones are refused.
    std::size_t mMaxWaiting = 32;
  };

  /// Listens and serves the routes. Fails with InvalidSettings when the address
  /// cannot be bound.
  static core::Expected<std::unique_ptr<AdminServer>> Open(
    Settings aSettings,
    std::vector<AdminRoute> aRoutes);

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  /// Closes the listener and waits for handlers under way.
  ~AdminServer();

private:
  class Implementation;

  explicit AdminServer(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> mImplementation;
};

} // namespace nutmegrock::admin
