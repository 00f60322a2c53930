#pragma once

#include "admin/RouteTable.h"
#include "core/Address.h"
#include "core/Error.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace nutmegrock::admin {

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
    core::Address mListen{};
    /// Longest request body, in bytes.
    std::size_t mMaxBody = std::size_t{ 2 } * 1024 * 1024;
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

  explicit AdminServer(std::shared_ptr<Implementation> aImplementation);

  /// Shared with the continuations of cpprestsdk's tasks, which may end late.
  std::shared_ptr<Implementation> mImplementation;
};

} // namespace nutmegrock::admin
