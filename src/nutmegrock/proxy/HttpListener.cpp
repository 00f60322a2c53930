#include "proxy/HttpListener.h"

#include <netinet/tcp.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
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
/// Bytes of a response that the system may hold besides those in the window of
/// the caller. Two of the largest writes, so that sending never pauses.
constexpr int kMaxSystemUnsent = 128 * 1024;
/// Part of the limit of memory, as a divisor, that is freed beyond it, so that
/// the connections are not searched for each request.
constexpr std::size_t kFreedDivisor = 10;
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
    // Without it the system buffers megabytes for a caller that does not read.
    // A failure leaves that default.
    setsockopt(mAcceptor.native_handle(),
               IPPROTO_TCP,
               TCP_NOTSENT_LOWAT,
               &kMaxSystemUnsent,
               sizeof kMaxSystemUnsent);
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
          MakeRoom();
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
  if (mConnections.size() >= mSettings.mMaxConnections && !MakeRoom()) {
    ++mRefused;
    return;
  }
  auto connection = std::make_shared<ServerConnection>(*this);
  mConnections.emplace(connection.get(), connection);
  connection->Start(std::move(aSocket));
}

bool
HttpListener::MakeRoom()
{
  std::vector<ConnectionState> states;
  std::vector<ServerConnection*> connections;
  states.reserve(mConnections.size());
  connections.reserve(mConnections.size());
  for (const auto& entry : mConnections) {
    states.push_back(entry.second->State());
    connections.push_back(entry.first);
  }
  const auto chosen = ChooseForRoom(mNow(), states);
  if (!chosen) {
    return false;
  }
  ++mReplaced;
  CloseFor(CloseReason::Room, *connections[*chosen]);
  return true;
}

void
HttpListener::CloseFor(CloseReason aReason, ServerConnection& aConnection)
{
  if (mSettings.mOnClose) {
    mSettings.mOnClose(aReason, aConnection.State());
  }
  aConnection.Close();
}

void
HttpListener::FreeMemory(core::TimePoint aNow,
                         BufferBudget& aBudget,
                         const std::vector<HttpListener*>& aListeners)
{
  std::vector<ConnectionState> states;
  std::vector<std::pair<HttpListener*, std::shared_ptr<ServerConnection>>>
    connections;
  for (HttpListener* listener : aListeners) {
    for (const auto& entry : listener->mConnections) {
      states.push_back(entry.second->State());
      connections.emplace_back(listener, entry.second);
    }
  }
  const std::size_t target = aBudget.Limit() - aBudget.Limit() / kFreedDivisor;
  if (aBudget.Used() > aBudget.Limit()) {
    for (const std::size_t index :
         ChooseForMemory(aNow, states, aBudget.Used() - target)) {
      const auto& [listener, connection] = connections[index];
      listener->CloseFor(CloseReason::Memory, *connection);
    }
  }
  aBudget.Rearm();
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
