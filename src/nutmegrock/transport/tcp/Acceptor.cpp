#include "transport/tcp/Acceptor.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <utility>

namespace nutmegrock::transport::tcp {

namespace {

namespace net = boost::asio;

// Delay before accepting again after an error, such as running out of file
// descriptors.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

core::Expected<net::ip::tcp::endpoint>
EndpointOf(const core::Address& aAddress)
{
  boost::system::error_code code;
  const auto ip = net::ip::make_address(aAddress.mIp, code);
  if (code) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "\"" + aAddress.mIp + "\" is not an IP address");
  }
  return net::ip::tcp::endpoint(ip, aAddress.mPort);
}

Acceptor::Acceptor(net::io_context& aIo)
  : mIo(aIo)
  , mAcceptor(net::make_strand(aIo))
  , mTimer(mAcceptor.get_executor())
{
}

core::Expected<void>
Acceptor::Listen(const core::Address& aAddress)
{
  const auto endpoint = EndpointOf(aAddress);
  if (!endpoint) {
    return tl::make_unexpected(endpoint.error());
  }
  boost::system::error_code code;
  mAcceptor.open(endpoint->protocol(), code);
  if (!code) {
    mAcceptor.set_option(net::ip::tcp::acceptor::reuse_address(true), code);
  }
  if (!code) {
    mAcceptor.bind(*endpoint, code);
  }
  if (!code) {
    mAcceptor.listen(net::socket_base::max_listen_connections, code);
  }
  net::ip::tcp::endpoint local;
  if (!code) {
    local = mAcceptor.local_endpoint(code);
  }
  if (code) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "cannot listen on " + aAddress.ToString() + ": " +
                        code.message());
  }
  mLocalAddress = { local.address().to_string(), local.port() };
  return {};
}

void
Acceptor::Start(SocketHandler aHandler)
{
  mHandler = std::move(aHandler);
  Accept();
}

void
Acceptor::Accept()
{
  mAcceptor.async_accept(
    net::make_strand(mIo),
    [self = shared_from_this()](boost::system::error_code aCode,
                                net::ip::tcp::socket aSocket) {
      if (self->mClosed) {
        return;
      }
      if (aCode) {
        self->RetryAccept();
        return;
      }
      self->mHandler(std::move(aSocket));
      self->Accept();
    });
}

void
Acceptor::RetryAccept()
{
  mTimer.expires_after(kAcceptRetryDelay);
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (!aCode && !self->mClosed) {
        self->Accept();
      }
    });
}

void
Acceptor::Close(std::function<void()> aClosed)
{
  net::dispatch(mAcceptor.get_executor(),
                [self = shared_from_this(), closed = std::move(aClosed)] {
                  self->mClosed = true;
                  boost::system::error_code ignored;
                  self->mAcceptor.close(ignored);
                  self->mTimer.cancel();
                  closed();
                });
}

} // namespace nutmegrock::transport::tcp
