#include "standins/standin_backend/Session.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

namespace nutmegrock::standin_backend {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 256 } << 20U;

} // namespace

std::shared_ptr<Session>
Session::Create(asio::ip::tcp::socket aSocket,
                std::shared_ptr<BackendState> aState,
                bool aAcceptsWork,
                ControlHandler aControl,
                std::function<void()> aOnClosed)
{
  return std::shared_ptr<Session>(new Session(std::move(aSocket),
                                              std::move(aState),
                                              aAcceptsWork,
                                              std::move(aControl),
                                              std::move(aOnClosed)));
}

Session::Session(asio::ip::tcp::socket aSocket,
                 std::shared_ptr<BackendState> aState,
                 bool aAcceptsWork,
                 ControlHandler aControl,
                 std::function<void()> aOnClosed)
  : mStream(std::move(aSocket))
  , mState(std::move(aState))
  , mAcceptsWork(aAcceptsWork)
  , mControl(std::move(aControl))
  , mOnClosed(std::move(aOnClosed))
{
}

Session::~Session()
{
  mOnClosed();
}

void
Session::Start()
{
  asio::dispatch(mStream.get_executor(),
                 [self = shared_from_this()] { self->Read(); });
}

void
Session::Read()
{
  mParser.emplace();
  mParser->body_limit(kMaxBodyBytes);
  http::async_read(
    mStream,
    mBuffer,
    *mParser,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (!aError) {
        self->OnRequest();
      }
    });
}

void
Session::OnRequest()
{
  experiment::HttpRequest request = mParser->release();
  if (auto response = mControl(request)) {
    Write(std::move(*response));
    return;
  }
  if (!mAcceptsWork) {
    experiment::HttpResponse refusal(http::status::service_unavailable,
                                     request.version());
    refusal.keep_alive(false);
    refusal.set("Nutmegrock-Run", "not-run");
    refusal.prepare_payload();
    Write(std::move(refusal));
    return;
  }
  mWork = Work::Create(mStream.get_executor(), mState, std::move(request));
  // The work may end, and be removed from mWork, before Start() returns.
  const auto work = mWork;
  work->Start([self = shared_from_this()](experiment::HttpResponse aResponse) {
    self->mWork.reset();
    self->Write(std::move(aResponse));
  });
  if (mWork) {
    WatchForClose();
  }
}

void
Session::WatchForClose()
{
  if (mWatching) {
    return;
  }
  mWatching = true;
  mStream.socket().async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](boost::system::error_code aError) {
      self->mWatching = false;
      if (!self->mWork) {
        return;
      }
      char byte = 0;
      const auto count = aError ? 0
                                : ::recv(self->mStream.socket().native_handle(),
                                         &byte,
                                         1,
                                         MSG_PEEK | MSG_DONTWAIT);
      if (count > 0) {
        // The client has pipelined its next request.
        return;
      }
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        self->WatchForClose();
        return;
      }
      const auto work = std::move(self->mWork);
      self->mWork.reset();
      work->Abort();
      self->mStream.close();
    });
}

void
Session::Write(experiment::HttpResponse aResponse)
{
  mResponse.emplace(std::move(aResponse));
  http::async_write(
    mStream,
    *mResponse,
    [self = shared_from_this()](boost::system::error_code aError, std::size_t) {
      if (!aError && self->mResponse->keep_alive()) {
        self->Read();
      } else {
        self->mStream.close();
      }
    });
}

} // namespace nutmegrock::standin_backend
