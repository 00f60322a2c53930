#pragma once

#include "core/Error.h"
#include "transport/peer/FrameConnection.h"
#include "transport/peer/PeerAuthenticator.h"
#include "transport/peer/PeerClientSettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

namespace nutmegrock::transport::peer {

/// One attempt to connect to a peer and exchange Hello. Runs on the given
/// strand.
class PeerConnector : public std::enable_shared_from_this<PeerConnector>
{
public:
  using Done =
    std::function<void(core::Expected<std::shared_ptr<FrameConnection>>)>;

  PeerConnector(const boost::asio::any_io_executor& aStrand,
                const PeerClientSettings& aSettings,
                std::shared_ptr<PeerCounts> aCounts);

  /// Calls aDone with a connection that is ready for calls, or PeerUnreachable.
  void Start(const boost::asio::ip::tcp::endpoint& aEndpoint, Done aDone);
  /// Ends the attempt without calling the handler.
  void Abort();

private:
  void OnConnected(boost::system::error_code aCode);
  void OnFrame(const gen::PeerFrame& aFrame);
  void Fail(PeerEvent aEvent, const std::string& aReason);

  const PeerClientSettings mSettings;
  const std::shared_ptr<PeerCounts> mCounts;
  boost::asio::ip::tcp::socket mSocket;
  boost::asio::steady_timer mTimer;
  std::shared_ptr<FrameConnection> mConnection;
  PeerAuthenticator mAuthenticator;
  Done mDone;
};

} // namespace nutmegrock::transport::peer
