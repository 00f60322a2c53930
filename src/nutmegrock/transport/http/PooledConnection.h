#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace nutmegrock::transport::http {

/// A connection to the backend server, used by one exchange at a time.
struct PooledConnection
{
  explicit PooledConnection(boost::asio::io_context& aIo)
    : mSocket(aIo)
  {
  }

  /// Returns true if an idle connection can carry another call: it is still
  /// open and has received no stray bytes.
  bool IsReusable();

  boost::asio::ip::tcp::socket mSocket;
  boost::beast::flat_buffer mBuffer;
};

} // namespace nutmegrock::transport::http
