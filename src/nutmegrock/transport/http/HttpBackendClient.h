#pragma once

#include "transport/Call.h"
#include "transport/http/HttpBackendClientSettings.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>

namespace nutmegrock::transport::http {

class ConnectionPool;

/// Sends calls over pooled keep-alive connections to one backend server.
///
/// Errors before a byte of the call was handed to a connection are NotRun:
/// BackendUnreachable (connect failed), DeadlineExceeded (no connection became
/// free in time). Later errors are Unknown: BackendTimeout, BackendProtocol,
/// Cancelled, and the error of the call's own body. Once the head of the
/// response was delivered, errors are reported by its body reader. The deadline
/// covers the whole exchange with both bodies. Nothing is sent twice, even if a
/// pooled connection turns out to be stale.
///
/// The io_context must outlive the client.
class HttpBackendClient final : public BackendClient
{
public:
  /// Fails with InvalidSettings if the address is not an IP address or no
  /// connection is allowed.
  static core::Expected<std::unique_ptr<HttpBackendClient>> Create(
    boost::asio::io_context& aIo,
    const HttpBackendClientSettings& aSettings);

  /// Closes idle connections; calls in flight finish.
  ~HttpBackendClient() override;

  void Send(Call aCall,
            core::TimePoint aDeadline,
            ResponseHandler aHandler) override;

  /// Open connections, in use or idle.
  std::size_t Connections() const;
  /// Idle connections ready for reuse.
  std::size_t Idle() const;

private:
  explicit HttpBackendClient(std::shared_ptr<ConnectionPool> aPool);

  std::shared_ptr<ConnectionPool> mPool;
};

} // namespace nutmegrock::transport::http
