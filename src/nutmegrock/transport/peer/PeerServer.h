#pragma once

#include "transport/Call.h"
#include "transport/peer/PeerCounts.h"
#include "transport/peer/PeerServerSettings.h"

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::transport::peer {

class PeerServerState;

/// Handles a control request: incarnation of the sender, method, argument, and
/// a callback that must be called once with the result, from any thread.
using ControlHandler = std::function<void(
  core::Incarnation aFrom,
  std::string aMethod,
  std::string aArgument,
  std::function<void(core::Expected<std::string>)> aResponse)>;

/// Accepts calls and control requests from other nodes. Handlers run on threads
/// of the io_context and may respond from any thread, in any order. A Cancel
/// frame or the loss of the connection cancels a call. A call or control
/// request for another incarnation is rejected with WrongIncarnation.
///
/// The io_context must outlive the server.
class PeerServer
{
public:
  /// Binds and listens. Fails with InvalidSettings if the address cannot be
  /// bound.
  static core::Expected<std::unique_ptr<PeerServer>> Create(
    boost::asio::io_context& aIo,
    PeerServerSettings aSettings,
    PeerCallHandler aCallHandler,
    ControlHandler aControlHandler);

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  /// Closes the listening socket and all connections, and cancels calls in
  /// flight.
  ~PeerServer();

  /// The bound address, with the port chosen by the system if 0 was requested.
  const core::Address& LocalAddress() const;
  /// Calls passed to the handler whose response is not yet written or dropped.
  std::size_t InFlight() const;
  /// Open connections.
  std::size_t Connections() const;
  /// Closes the listening socket. Open connections stay, since their callers
  /// need the responses; new calls on them are still passed to the handler.
  void StopAccepting();

  const PeerCounts& Counts() const;

private:
  explicit PeerServer(std::shared_ptr<PeerServerState> aState);

  std::shared_ptr<PeerServerState> mState;
};

} // namespace nutmegrock::transport::peer
