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
/// Handlers run on worker threads of the server: if they waited for the store
/// on the threads of the cpprestsdk pool, they would occupy the threads that
/// process the responses of the store.
class AdminServer
{
public:
  /// Path prefix of this version of the API.
  static constexpr const char* kVersionPath = "/v1";

  struct Settings
  {
    core::Address mListen{};
    /// Maximum size of a request body in bytes.
    std::size_t mMaxBody = std::size_t{ 2 } * 1024 * 1024;
    std::size_t mWorkers = 2;
    /// Maximum number of requests that wait for a worker; further ones are
    /// rejected.
    std::size_t mMaxWaiting = 32;
  };

  /// Listens and serves the routes. Fails with InvalidSettings if the address
  /// cannot be bound.
  static core::Expected<std::unique_ptr<AdminServer>> Open(
    Settings aSettings,
    std::vector<AdminRoute> aRoutes);

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  /// Closes the listener and waits for running handlers.
  ~AdminServer();

private:
  class Implementation;

  explicit AdminServer(std::shared_ptr<Implementation> aImplementation);

  /// Shared with the continuations of cpprestsdk tasks, which may run late.
  std::shared_ptr<Implementation> mImplementation;
};

} // namespace nutmegrock::admin
