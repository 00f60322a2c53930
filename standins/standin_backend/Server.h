#pragma once

#include "standins/standin_backend/BackendState.h"
#include "standins/standin_backend/NodeLink.h"
#include "standins/standin_backend/Session.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace nutmegrock::standin_backend {

/// Accepts connections, handles control requests, and shuts down gracefully on
/// SIGTERM or SIGINT.
class Server : public std::enable_shared_from_this<Server>
{
public:
  /// Opens the listening socket. Fails with InvalidSettings if the address
  /// cannot be bound.
  static core::Expected<std::shared_ptr<Server>> Create(
    boost::asio::io_context& aContext,
    const Settings& aSettings);

  /// Starts accepting and announces the server. After SIGTERM or SIGINT, stops
  /// the io_context when the work in flight has ended.
  void Start();

private:
  Server(boost::asio::io_context& aContext, const Settings& aSettings);
  void Accept();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  std::optional<experiment::HttpResponse> Control(
    const experiment::HttpRequest& aRequest);
  void WaitForSignal();
  void LeaveWhenIdle(core::TimePoint aNotBefore, core::TimePoint aNotAfter);

  boost::asio::io_context& mContext;
  std::shared_ptr<BackendState> mState;
  std::shared_ptr<NodeLink> mLink;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mAcceptTimer;
  boost::asio::steady_timer mLeaveTimer;
  boost::asio::signal_set mSignals;
  std::atomic<std::size_t> mOpenConnections = 0;
};

} // namespace nutmegrock::standin_backend
