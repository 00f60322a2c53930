#include "transport/http/PooledConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace nutmegrock::transport::http {

bool
PooledConnection::IsReusable()
{
  if (!mSocket.is_open() || mBuffer.size() > 0) {
    return false;
  }
  char byte = 0;
  boost::system::error_code code;
  mSocket.receive(boost::asio::buffer(&byte, 1),
                  boost::asio::socket_base::message_peek,
                  code);
  return code == boost::asio::error::would_block;
}

} // namespace nutmegrock::transport::http
