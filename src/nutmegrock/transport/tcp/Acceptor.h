#pragma once

#include "core/Address.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace nutmegrock::transport::tcp {

/// Returns the endpoint of an address. Fails with InvalidSettings if it is not
/// an IP address.
core::Expected<boost::asio::ip::tcp::endpoint>
EndpointOf(const core::Address& aAddress);

/// A listening TCP socket. Passes each accepted socket, on a strand of its own,
/// to a handler.
class Acceptor : public std::enable_shared_from_this<Acceptor>
{
public:
  using SocketHandler = std::function<void(boost::asio::ip::tcp::socket)>;

  explicit Acceptor(boost::asio::io_context& aIo);

  /// Binds and listens; port 0 lets the system choose a port. Fails with
  /// InvalidSettings if the address cannot be bound.
  core::Expected<void> Listen(const core::Address& aAddress);
  /// Accepts until closed. The handler runs on the acceptor's strand.
  void Start(SocketHandler aHandler);
  /// Closes the socket, then runs aClosed on the acceptor's strand, after the
  /// last call of the handler.
  void Close(std::function<void()> aClosed);

  const core::Address& LocalAddress() const { return mLocalAddress; }

private:
  void Accept();
  void RetryAccept();

  boost::asio::io_context& mIo;
  boost::asio::ip::tcp::acceptor mAcceptor;
  boost::asio::steady_timer mTimer;
  SocketHandler mHandler;
  core::Address mLocalAddress;
  bool mClosed = false;
};

} // namespace nutmegrock::transport::tcp
