#include "transport/http/ListenerState.h"

#include "transport/http/ServerConnection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::transport::http {

namespace {

namespace net = boost::asio;
using tcp = net::ip::tcp;

// Refused connections stay open only to read their 503; beyond this number
// further ones are closed without one, so that refusals are bounded as well.
constexpr std::size_t kMaxRefusing = 64;

// Pause before accepting again when the process is out of descriptors.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

} // namespace

ListenerState::ListenerState(net::io_context& aIo,
                             const CallListenerSettings& aSettings,
                             CallHandler aHandler)
  : mSettings(aSettings)
  , mHandler(std::move(aHandler))
  , mIo(aIo)
  , mAcceptor(net::make_strand(aIo))
  , mAcceptTimer(mAcceptor.get_executor())
{
}

core::Expected<void>
ListenerState::Open()
{
  boost::system::error_code code;
  const auto ip = net::ip::make_address(mSettings.mAddress.mIp, code);
  const tcp::endpoint endpoint(ip, mSettings.mAddress.mPort);
  if (!code) {
    mAcceptor.open(endpoint.protocol(), code);
  }
  if (!code) {
    mAcceptor.set_option(tcp::acceptor::reuse_address(true), code);
  }
  if (!code) {
    mAcceptor.bind(endpoint, code);
  }
  if (!code) {
    mAcceptor.listen(net::socket_base::max_listen_connections, code);
  }
  tcp::endpoint local;
  if (!code) {
    local = mAcceptor.local_endpoint(code);
  }
  if (code) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      fmt::format("cannot listen on {}: {}",
                                  mSettings.mAddress.Text(),
                                  code.message()));
  }
  mLocalAddress = { local.address().to_string(), local.port() };
  return {};
}

void
ListenerState::Accept()
{
  mAcceptor.async_accept(
    net::make_strand(mIo),
    [self = shared_from_this()](boost::system::error_code aCode,
                                tcp::socket aSocket) {
      if (self->mStopping || aCode == net::error::operation_aborted) {
        return;
      }
      if (aCode) {
        self->AcceptLater();
        return;
      }
      self->OnAccepted(std::move(aSocket));
      self->Accept();
    });
}

void
ListenerState::AcceptLater()
{
  mAcceptTimer.expires_after(kAcceptPause);
  mAcceptTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (!aCode && !self->mStopping) {
        self->Accept();
      }
    });
}

void
ListenerState::OnAccepted(tcp::socket aSocket)
{
  std::shared_ptr<ServerConnection> connection;
  bool refused = false;
  {
    const std::lock_guard lock(mMutex);
    refused = mConnections.size() >= mSettings.mMaxConnections;
    if (!refused ||
        mConnections.size() < mSettings.mMaxConnections + kMaxRefusing) {
      connection = std::make_shared<ServerConnection>(std::move(aSocket),
                                                      shared_from_this());
      mConnections.emplace(connection.get(), connection);
    }
  }
  if (refused) {
    ++mRefused;
  }
  if (connection) {
    connection->Start(refused);
  }
}

void
ListenerState::Handle(Call aCall, AnswerHandler aAnswer) const
{
  mHandler(std::move(aCall), std::move(aAnswer));
}

std::shared_ptr<void>
ListenerState::StartCall()
{
  ++mInFlight;
  return { nullptr, [self = shared_from_this()](void*) { --self->mInFlight; } };
}

std::size_t
ListenerState::Connections() const
{
  const std::lock_guard lock(mMutex);
  return mConnections.size();
}

std::vector<std::shared_ptr<ServerConnection>>
ListenerState::All() const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::shared_ptr<ServerConnection>> all;
  for (const auto& [key, weak] : mConnections) {
    if (auto connection = weak.lock()) {
      all.push_back(std::move(connection));
    }
  }
  return all;
}

void
ListenerState::Remove(const ServerConnection* aConnection)
{
  const std::lock_guard lock(mMutex);
  mConnections.erase(aConnection);
}

void
ListenerState::Stop()
{
  if (mStopping.exchange(true)) {
    return;
  }
  net::dispatch(mAcceptor.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->mAcceptor.close(ignored);
    self->mAcceptTimer.cancel();
    for (const auto& connection : self->All()) {
      connection->Stop();
    }
  });
}

void
ListenerState::Close()
{
  Stop();
  net::dispatch(mAcceptor.get_executor(), [self = shared_from_this()] {
    for (const auto& connection : self->All()) {
      connection->Close();
    }
  });
}

} // namespace nutmegrock::transport::http
