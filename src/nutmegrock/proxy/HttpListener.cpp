#include "proxy/HttpListener.h"

#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::proxy {

namespace {

namespace net = boost::asio;

/// Maximum connections that wait to be accepted.
constexpr int kBacklog = 1024;
/// Delay before accepting again after an error, such as running out of file
/// descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{ 50 };
/// Connections idle for a shorter time may have a request on the way.
constexpr std::chrono::milliseconds kMinIdleTime{ 500 };
/// Time between two turns of a connection that holds back requests.
constexpr std::chrono::milliseconds kTurnInterval{ 10 };

bool
IsOutOfResources(const boost::system::error_code& aCode)
{
  namespace errc = boost::system::errc;
  return aCode == errc::too_many_files_open ||
         aCode == errc::too_many_files_open_in_system ||
         aCode == errc::no_buffer_space || aCode == errc::not_enough_memory;
}

} // namespace

HttpListener::HttpListener(net::io_context& aIo,
                           HttpListenerSettings aSettings,
                           std::function<core::TimePoint()> aNow,
                           RequestHandler aHandler)
  : mSettings(std::move(aSettings))
  , mNow(std::move(aNow))
  , mHandler(std::move(aHandler))
  , mAcceptor(aIo)
  , mAcceptTimer(aIo)
  , mResumeTimer(aIo)
{
}

core::Expected<std::unique_ptr<HttpListener>>
HttpListener::Create(net::io_context& aIo,
                     HttpListenerSettings aSettings,
                     std::function<core::TimePoint()> aNow,
                     RequestHandler aHandler)
{
  std::unique_ptr<HttpListener> listener(new HttpListener(
    aIo, std::move(aSettings), std::move(aNow), std::move(aHandler)));
  if (auto opened = listener->Open(); !opened) {
    return tl::make_unexpected(std::move(opened.error()));
  }
  listener->Accept();
  return listener;
}

core::Expected<bool>
HttpListener::Open()
{
  boost::system::error_code code;
  core::Address& address = mSettings.mAddress;
  const net::ip::tcp::endpoint endpoint(
    net::ip::make_address(address.mIp, code), address.mPort);
  if (!code) {
    mAcceptor.open(endpoint.protocol(), code);
  }
  if (!code) {
    mAcceptor.set_option(net::socket_base::reuse_address(true), code);
  }
  if (!code) {
    mAcceptor.bind(endpoint, code);
  }
  if (!code) {
    mAcceptor.listen(kBacklog, code);
  }
  if (code) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      fmt::format("cannot listen on {}: {}",
                                  address.ToString(),
                                  code.message()));
  }
  address.mPort = mAcceptor.local_endpoint().port();
  return true;
}

HttpListener::~HttpListener()
{
  boost::system::error_code ignored;
  mAcceptor.close(ignored);
  while (!mConnections.empty()) {
    const auto connection = mConnections.begin()->second;
    connection->Close();
  }
}

void
HttpListener::Accept()
{
  mAcceptor.async_accept(
    [this](boost::system::error_code aCode, net::ip::tcp::socket aSocket) {
      if (aCode == net::error::operation_aborted) {
        return;
      }
      if (aCode == net::error::connection_aborted) {
        Accept();
        return;
      }
      if (aCode) {
        ++mAcceptErrors;
        if (IsOutOfResources(aCode)) {
          CloseIdleConnection();
        }
        RetryAccept();
        return;
      }
      AddConnection(std::move(aSocket));
      Accept();
    });
}

void
HttpListener::RetryAccept()
{
  mAcceptTimer.expires_after(kAcceptRetryDelay);
  mAcceptTimer.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      Accept();
    }
  });
}

void
HttpListener::AddConnection(net::ip::tcp::socket aSocket)
{
  if (mConnections.size() >= mSettings.mMaxConnections &&
      !CloseIdleConnection()) {
    ++mRefused;
    return;
  }
  auto connection = std::make_shared<ServerConnection>(*this);
  mConnections.emplace(connection.get(), connection);
  connection->Start(std::move(aSocket));
}

bool
HttpListener::CloseIdleConnection()
{
  std::shared_ptr<ServerConnection> oldest;
  for (const auto& entry : mConnections) {
    if (!entry.second->IsBusy() &&
        (!oldest || entry.second->Since() < oldest->Since())) {
      oldest = entry.second;
    }
  }
  if (!oldest || mNow() - oldest->Since() < kMinIdleTime) {
    return false;
  }
  ++mReplaced;
  oldest->Close();
  return true;
}

void
HttpListener::ResumeLater(std::weak_ptr<ServerConnection> aConnection)
{
  ++mHeldBack;
  mHeld.push_back(std::move(aConnection));
  if (mHeld.size() == 1) {
    ScheduleResume();
  }
}

void
HttpListener::ScheduleResume()
{
  mResumeTimer.expires_after(kTurnInterval);
  mResumeTimer.async_wait([this](const boost::system::error_code& aCode) {
    if (!aCode) {
      ResumeHeld();
    }
  });
}

void
HttpListener::ResumeHeld()
{
  const core::TimePoint now = mNow();
  auto held = std::exchange(mHeld, {});
  for (auto& weak : held) {
    const auto connection = weak.lock();
    if (connection && !connection->Resume(now)) {
      mHeld.push_back(std::move(weak));
    }
  }
  if (!mHeld.empty()) {
    ScheduleResume();
  }
}

void
HttpListener::SetLimits(const routes::CallerLimits& aLimits)
{
  mSettings.mLimits = aLimits;
}

void
HttpListener::Tick()
{
  const core::TimePoint now = mNow();
  std::vector<std::shared_ptr<ServerConnection>> connections;
  connections.reserve(mConnections.size());
  for (const auto& entry : mConnections) {
    connections.push_back(entry.second);
  }
  for (const auto& connection : connections) {
    connection->Tick(now);
  }
}

std::size_t
HttpListener::BusyConnections() const
{
  std::size_t busy = 0;
  for (const auto& entry : mConnections) {
    busy += entry.second->IsBusy() ? 1 : 0;
  }
  return busy;
}

std::shared_ptr<RequestSink>
HttpListener::Handle(const ServerExchangePtr& aExchange)
{
  return mHandler(aExchange);
}

void
HttpListener::Remove(ServerConnection* aConnection)
{
  mConnections.erase(aConnection);
}

} // namespace nutmegrock::proxy
