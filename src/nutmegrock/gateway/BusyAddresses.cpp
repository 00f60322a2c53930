#include "gateway/BusyAddresses.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <type_traits>

namespace nutmegrock::gateway {

namespace {

namespace net = boost::asio;

/// Returns true if the address cannot be bound because it is in use.
template<class Socket>
bool
IsBusy(net::io_context& aIo, const core::Address& aAddress)
{
  boost::system::error_code code;
  const auto ip = net::ip::make_address(aAddress.mIp, code);
  if (code) {
    return false;
  }
  const typename Socket::protocol_type::endpoint endpoint(ip, aAddress.mPort);
  Socket socket(aIo);
  socket.open(endpoint.protocol(), code);
  if (!code && std::is_same_v<Socket, net::ip::tcp::socket>) {
    socket.set_option(net::socket_base::reuse_address(true), code);
  }
  if (!code) {
    socket.bind(endpoint, code);
  }
  return code == net::error::address_in_use;
}

} // namespace

std::optional<core::Address>
FindBusyAddress(const settings::GatewayListenSettings& aListen)
{
  net::io_context io;
  for (const core::Address& address : { aListen.mCaller,
                                        aListen.mNodes,
                                        aListen.mNotices,
                                        aListen.mReady,
                                        aListen.mPeer }) {
    if (IsBusy<net::ip::tcp::socket>(io, address)) {
      return address;
    }
  }
  if (IsBusy<net::ip::udp::socket>(io, aListen.mPeer)) {
    return aListen.mPeer;
  }
  return std::nullopt;
}

} // namespace nutmegrock::gateway
