#include "standins/standin_backend/Server.h"

#include <boost/asio/strand.hpp>
#include <csignal>

namespace nutmegrock::standin_backend {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

// Backend servers take about 1 ms to open a new connection (design, section 1).
constexpr std::chrono::milliseconds kAcceptDelay{ 1 };
// Calls that the node sent before it noticed the drain may still arrive.
constexpr std::chrono::milliseconds kLeaveGrace{ 500 };
constexpr std::chrono::seconds kLeaveTimeout{ 30 };
constexpr std::chrono::milliseconds kLeaveInterval{ 20 };

experiment::HttpResponse
TextResponse(const experiment::HttpRequest& aRequest,
             unsigned aStatus,
             std::string aBody)
{
  experiment::HttpResponse response(http::int_to_status(aStatus),
                                    aRequest.version());
  response.keep_alive(aRequest.keep_alive());
  response.body() = std::move(aBody);
  response.prepare_payload();
  return response;
}

} // namespace

core::Expected<std::shared_ptr<Server>>
Server::Create(asio::io_context& aContext, const Settings& aSettings)
{
  auto server = std::shared_ptr<Server>(new Server(aContext, aSettings));
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(aSettings.mListen.mIp, error);
  if (!error) {
    const asio::ip::tcp::endpoint endpoint(ip, aSettings.mListen.mPort);
    server->mAcceptor.open(endpoint.protocol(), error);
    if (!error) {
      server->mAcceptor.set_option(asio::socket_base::reuse_address(true),
                                   error);
      server->mAcceptor.bind(endpoint, error);
    }
    if (!error) {
      server->mAcceptor.listen(asio::socket_base::max_listen_connections,
                               error);
    }
  }
  if (error) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "cannot listen on " + aSettings.mListen.ToString() +
                        ": " + error.message());
  }
  return server;
}

Server::Server(asio::io_context& aContext, const Settings& aSettings)
  : mContext(aContext)
  , mState(
      std::make_shared<BackendState>(aSettings,
                                     experiment::PooledClient::Create(aContext),
                                     core::Clock::now()))
  , mLink(NodeLink::Create(aContext, mState))
  , mAcceptor(aContext)
  , mAcceptTimer(aContext)
  , mLeaveTimer(aContext)
  , mSignals(aContext, SIGTERM, SIGINT)
{
}

void
Server::Start()
{
  Accept();
  WaitForSignal();
  mLink->Start();
}

void
Server::Accept()
{
  mAcceptor.async_accept(
    asio::make_strand(mContext),
    [self = shared_from_this()](boost::system::error_code aError,
                                asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      self->OnAccepted(std::move(aSocket));
    });
}

void
Server::OnAccepted(asio::ip::tcp::socket aSocket)
{
  // Connections beyond the limit serve only control requests, which must also
  // work when the server is overloaded.
  const bool accepts_work =
    ++mOpenConnections <= mState->SettingsOf().mConnections;
  boost::system::error_code ignored;
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  auto session = Session::Create(
    std::move(aSocket),
    mState,
    accepts_work,
    [weak = weak_from_this()](const experiment::HttpRequest& aRequest) {
      const auto self = weak.lock();
      return self ? self->Control(aRequest) : std::nullopt;
    },
    [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        --self->mOpenConnections;
      }
    });
  mAcceptTimer.expires_after(kAcceptDelay);
  mAcceptTimer.async_wait(
    [self = shared_from_this(), session](boost::system::error_code aError) {
      session->Start();
      if (!aError) {
        self->Accept();
      }
    });
}

std::optional<experiment::HttpResponse>
Server::Control(const experiment::HttpRequest& aRequest)
{
  const auto target = aRequest.target();
  if (target == "/counts") {
    return TextResponse(aRequest, 200, mState->Counts().Json());
  }
  if (target == "/counts/operations") {
    return TextResponse(aRequest, 200, mState->Counts().OperationLines());
  }
  if (target == "/control/reset") {
    mState->Counts().Reset();
    return TextResponse(aRequest, 200, "{}");
  }
  if (target == "/control/drain") {
    mLink->Drain([] {});
    return TextResponse(aRequest, 200, "{}");
  }
  if (target == "/control") {
    const auto changed = mState->CurrentBehaviour().With(aRequest.body());
    if (!changed) {
      return TextResponse(aRequest, 400, changed.error().mMessage);
    }
    mState->SetBehaviour(*changed);
    return TextResponse(aRequest, 200, "{}");
  }
  return std::nullopt;
}

void
Server::WaitForSignal()
{
  mSignals.async_wait(
    [self = shared_from_this()](boost::system::error_code aError, int) {
      if (aError) {
        return;
      }
      self->mLink->Drain([self] {
        const auto now = core::Clock::now();
        self->LeaveWhenIdle(now + kLeaveGrace, now + kLeaveTimeout);
      });
    });
}

void
Server::LeaveWhenIdle(core::TimePoint aNotBefore, core::TimePoint aNotAfter)
{
  const auto now = core::Clock::now();
  const bool idle = mState->Slots().InUse() == 0;
  if ((idle && now >= aNotBefore) || now >= aNotAfter) {
    mLink->Leave([self = shared_from_this()] { self->mContext.stop(); });
    return;
  }
  mLeaveTimer.expires_after(kLeaveInterval);
  mLeaveTimer.async_wait([self = shared_from_this(), aNotBefore, aNotAfter](
                           boost::system::error_code aError) {
    if (!aError) {
      self->LeaveWhenIdle(aNotBefore, aNotAfter);
    }
  });
}

} // namespace nutmegrock::standin_backend
