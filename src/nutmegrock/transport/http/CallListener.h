#pragma once

#include "transport/Call.h"
#include "transport/http/CallListenerSettings.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>

namespace nutmegrock::transport::http {

class ListenerState;

/// Accepts HTTP/1.1 calls and passes each to a handler. The handler runs on a
/// thread of the io_context; its ResponseHandler may be called from any thread.
/// A caller that closes its connection, or its sending side, cancels the call.
///
/// A response is written only once the first chunk of its body is available, so
/// that a body which fails at once still becomes an error response.
///
/// The io_context must outlive the listener.
class CallListener
{
public:
  /// Binds and listens. Fails with InvalidSettings if the address cannot be
  /// bound.
  static core::Expected<std::unique_ptr<CallListener>> Create(
    boost::asio::io_context& aIo,
    const CallListenerSettings& aSettings,
    CallHandler aHandler);

  CallListener(const CallListener&) = delete;
  CallListener& operator=(const CallListener&) = delete;
  /// Closes the listening socket and all connections, and cancels calls in
  /// flight.
  ~CallListener();

  /// The bound address, with the port chosen by the system if 0 was requested.
  const core::Address& LocalAddress() const;
  /// Calls passed to the handler whose response is not yet written or dropped.
  std::size_t InFlight() const;
  /// Open connections, and closed ones that have not yet released their call.
  /// If zero, a call is in flight only while its handler holds its
  /// ResponseHandler.
  std::size_t Connections() const;
  /// Number of connections refused with too_many_connections.
  std::uint64_t Refused() const;
  /// Closes the listening socket and idle connections. Calls in flight finish,
  /// with "Connection: close" in their responses.
  void StopAccepting();

private:
  explicit CallListener(std::shared_ptr<ListenerState> aState);

  std::shared_ptr<ListenerState> mState;
};

} // namespace nutmegrock::transport::http
