#pragma once

#include "core/Address.h"
#include "transport/Call.h"
#include "transport/peer/PeerClientSettings.h"
#include "transport/peer/PeerCounts.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::transport::peer {

class PeerClientState;

/// Receives the result of a control request.
using ControlResponseHandler = std::function<void(core::Expected<std::string>)>;

/// Sends calls and control requests to other nodes. All calls to one address
/// share one connection, which is opened when needed and closed when idle.
///
/// Errors before a call's frame was handed to the socket are NotRun:
/// PeerUnreachable (no connection, or backoff after a failed attempt) and
/// DeadlineExceeded. Later errors are Unknown: PeerLost (connection lost),
/// DeadlineExceeded, Cancelled and ProtocolError, unless the serving node
/// reported otherwise. A response that arrives after its call ended is dropped.
/// Handlers are called once, on a thread of the io_context.
///
/// The io_context must outlive the client.
class PeerClient
{
public:
  static std::unique_ptr<PeerClient> Create(boost::asio::io_context& aIo,
                                            PeerClientSettings aSettings);

  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  /// Same as Close().
  ~PeerClient();

  /// The deadline is taken from the call's context.
  void Send(const core::Address& aAddress,
            PeerCall aCall,
            PeerResultHandler aHandler);
  /// Argument and result must each fit into one frame of 1 MiB.
  void Control(const core::Address& aAddress,
               core::Incarnation aTarget,
               std::string aMethod,
               std::string aArgument,
               core::TimePoint aDeadline,
               ControlResponseHandler aHandler);
  /// Closes all connections. Calls in flight end with PeerLost, later ones
  /// with PeerUnreachable.
  void Close();

  const PeerCounts& Counts() const;

private:
  explicit PeerClient(std::shared_ptr<PeerClientState> aState);

  std::shared_ptr<PeerClientState> mState;
};

} // namespace nutmegrock::transport::peer
