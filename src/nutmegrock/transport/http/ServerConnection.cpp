#include "transport/http/ServerConnection.h"

#include "transport/http/DrainSocket.h"
#include "transport/http/ListenerState.h"
#include "transport/http/RequestHead.h"
#include "transport/http/ServerBody.h"

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

namespace nutmegrock::transport::http {

namespace {

namespace net = boost::asio;
namespace beast_http = boost::beast::http;

// Maximum bytes of a body buffered at a time; a body up to this size is one
// chunk.
constexpr std::size_t kChunkBytes = std::size_t{ 64 } * 1024;

// Large enough for a typical head, so that one system call reads it.
constexpr std::size_t kInitialBufferBytes = 4096;

// Limits of Linger().
constexpr auto kLingerTimeout = std::chrono::seconds(1);
constexpr std::size_t kLingerBytes = std::size_t{ 1024 } * 1024;

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

ServerConnection::ServerConnection(net::ip::tcp::socket aSocket,
                                   std::shared_ptr<ListenerState> aListener)
  : mSocket(std::move(aSocket))
  , mListener(std::move(aListener))
  , mTimer(std::make_shared<LimitTimer>(
      mSocket.get_executor(),
      std::min({ mListener->Settings().mHeaderTimeout,
                 mListener->Settings().mIdleTimeout,
                 core::Duration(kLingerTimeout) }) /
        4))
{
}

void
ServerConnection::Start(bool aRefuse)
{
  net::dispatch(mSocket.get_executor(), [self = shared_from_this(), aRefuse] {
    Code ignored;
    self->mSocket.set_option(net::ip::tcp::no_delay(true), ignored);
    self->mSocket.non_blocking(true, ignored);
    self->mBuffer.reserve(kInitialBufferBytes);
    self->mTimer->Start(
      self,
      [connection = self.get()] { connection->OnTick(); },
      [connection = self.get()] { connection->Close(); });
    if (!aRefuse) {
      self->ReadHead();
      return;
    }
    self->StartExchange();
    self->Refuse(core::MakeError(core::ErrorKind::TooManyConnections,
                                 "this node has too many open connections"));
  });
}

void
ServerConnection::Stop()
{
  net::dispatch(mSocket.get_executor(), [self = shared_from_this()] {
    if (self->mClosed || self->mExchange || self->mBuffer.size() > 0) {
      return;
    }
    // A call that has arrived but was not yet read is still served.
    char byte = 0;
    Code code;
    self->mSocket.receive(
      net::buffer(&byte, 1), net::socket_base::message_peek, code);
    if (code) {
      self->Close();
    }
  });
}

void
ServerConnection::Close()
{
  net::dispatch(mSocket.get_executor(), [self = shared_from_this()] {
    if (self->mClosed) {
      return;
    }
    self->mClosed = true;
    Code ignored;
    self->mSocket.close(ignored);
    self->mTimer->Stop();
    if (!self->mExchange) {
      self->Release();
      return;
    }
    if (const auto writer = self->mExchange->mWriter.lock()) {
      writer->Abort();
    }
    self->mExchange->mCancellation->Cancel();
    // If a read is in flight, OnBody() calls Release().
    if (!self->mExchange->mReading) {
      self->EndBody(core::MakeError(core::ErrorKind::BodyIncomplete,
                                    "the caller's connection is closed"));
      // Posted, since the code that called Close() may still use the exchange.
      net::post(self->mSocket.get_executor(), [self] { self->Release(); });
    }
  });
}

void
ServerConnection::Release()
{
  mExchange.reset();
  mListener->Remove(this);
}

void
ServerConnection::OnTick()
{
  if (!mExchange && !mHeadStarted && mBuffer.size() > 0) {
    mHeadStarted = true;
    mTimer->SetTimeout(mListener->Settings().mHeaderTimeout);
  }
}

void
ServerConnection::ReadHead()
{
  mParser.emplace();
  mParser->header_limit(mListener->Settings().mMaxHeaderBytes);
  mParser->body_limit(mListener->Settings().mMaxBodyBytes);
  mHeadStarted = false;
  mTimer->SetTimeout(mListener->Settings().mIdleTimeout);
  beast_http::async_read_header(
    mSocket,
    mBuffer,
    *mParser,
    [self = shared_from_this()](Code aCode, std::size_t) {
      self->OnHead(aCode);
    });
}

void
ServerConnection::StartExchange()
{
  mExchange = std::make_unique<ServerExchange>();
  mExchange->mId = ++mLastExchange;
  mExchange->mCancellation = std::make_shared<Cancellation>();
}

void
ServerConnection::OnHead(Code aCode)
{
  mTimer->Clear();
  if (mClosed) {
    return;
  }
  // Refuse() needs an exchange.
  StartExchange();
  if (aCode) {
    if (auto refusal = ParseErrorOf(aCode)) {
      Refuse(std::move(*refusal));
    } else {
      Close();
    }
    return;
  }
  mExchange->mIsHead = mParser->get().method() == beast_http::verb::head;
  auto head = ToCallHead(*mParser);
  if (!head) {
    Refuse(std::move(head.error()));
    return;
  }
  mKeepAlive = mParser->get().keep_alive();
  StartCall(std::move(*head));
}

void
ServerConnection::Refuse(core::Error aError)
{
  mKeepAlive = false;
  OnResponse(mLastExchange, tl::make_unexpected(std::move(aError)));
}

void
ServerConnection::StartCall(CallHead aHead)
{
  const std::uint64_t id = mExchange->mId;
  mExchange->mToken = mListener->StartCall();
  Call call;
  call.mHead = std::move(aHead);
  call.mCancellation = mExchange->mCancellation;
  if (mParser->is_done()) {
    call.mBody = StringBody({});
    mExchange->mBodyEnded = true;
    WatchForClose();
  } else {
    call.mBody = std::make_shared<ServerBody>(weak_from_this(), id);
    if (boost::beast::iequals(mParser->get()[beast_http::field::expect],
                              "100-continue")) {
      Continue();
    } else {
      ReadBody();
    }
  }
  mListener->Handle(std::move(call), MakeResponseHandler());
}

ResponseHandler
ServerConnection::MakeResponseHandler()
{
  return [self = shared_from_this(),
          id = mExchange->mId,
          token = mExchange->mToken](core::Expected<Response> aResponse) {
    net::dispatch(self->mSocket.get_executor(),
                  [self, id, response = std::move(aResponse)]() mutable {
                    self->OnResponse(id, std::move(response));
                  });
  };
}

// Sends 100 Continue before the handler runs, so that it cannot interleave with
// the response. It fits into the empty send buffer of an idle connection.
void
ServerConnection::Continue()
{
  Code code;
  net::write(mSocket, net::buffer(kContinueResponse), code);
  if (code) {
    Close();
    return;
  }
  ReadBody();
}

void
ServerConnection::ReadBody()
{
  ServerExchange& exchange = *mExchange;
  if (exchange.mReading || exchange.mBodyEnded || exchange.mReadyChunk) {
    return;
  }
  exchange.mReading = true;
  const auto length = mParser->content_length();
  const bool whole = length && *length <= kChunkBytes;
  exchange.mReadBuffer.resize(whole ? *length : kChunkBytes);
  if (!whole) {
    mBuffer.reserve(kChunkBytes);
  }
  auto& body = mParser->get().body();
  body.data = exchange.mReadBuffer.data();
  body.size = exchange.mReadBuffer.size();
  mTimer->SetTimeout(mListener->Settings().mHeaderTimeout);
  const auto done = [self = shared_from_this()](Code aCode, std::size_t) {
    const std::size_t left = self->mParser->get().body().size;
    self->OnBody(aCode, self->mExchange->mReadBuffer.size() - left);
  };
  if (whole) {
    beast_http::async_read(mSocket, mBuffer, *mParser, done);
  } else {
    beast_http::async_read_some(mSocket, mBuffer, *mParser, done);
  }
}

void
ServerConnection::OnBody(Code aCode, std::size_t aBytes)
{
  ServerExchange& exchange = *mExchange;
  exchange.mReading = false;
  if (mDraining && !mClosed) {
    Drain();
    return;
  }
  mTimer->Clear();
  if (aCode == beast_http::error::need_buffer) {
    aCode = {};
  }
  if (aCode || mClosed) {
    OnBodyFailed(aCode);
    return;
  }
  const bool last = mParser->is_done();
  if (aBytes == 0 && !last) {
    ReadBody();
    return;
  }
  exchange.mReadBuffer.resize(aBytes);
  exchange.mReadyChunk = BodyChunk{ std::move(exchange.mReadBuffer), last };
  exchange.mReadBuffer.clear();
  exchange.mBodyEnded = last;
  const bool ends_call = last && exchange.mResponseWritten;
  if (last && !ends_call) {
    WatchForClose();
  }
  DeliverChunk();
  if (ends_call && !mClosed) {
    EndCall();
  }
}

void
ServerConnection::OnBodyFailed(Code aCode)
{
  const bool large = aCode == beast_http::error::body_limit;
  mKeepAlive = false;
  EndBody(core::MakeError(large ? core::ErrorKind::BodyTooLarge
                                : core::ErrorKind::BodyIncomplete,
                          "cannot read the body: " + aCode.message()));
  if (mClosed) {
    Release();
  } else if (!large) {
    Close();
  }
}

void
ServerConnection::EndBody(core::Error aError)
{
  if (mExchange->mBodyEnded) {
    return;
  }
  mExchange->mBodyEnded = true;
  mExchange->mReadyChunk = tl::make_unexpected(std::move(aError));
  DeliverChunk();
}

void
ServerConnection::NextChunk(std::uint64_t aExchange, ChunkHandler aHandler)
{
  net::dispatch(mSocket.get_executor(),
                [self = shared_from_this(),
                 aExchange,
                 handler = std::move(aHandler)]() mutable {
                  if (!self->mExchange || self->mExchange->mId != aExchange) {
                    handler(core::Fail(core::ErrorKind::BodyIncomplete,
                                       "the call has ended"));
                    return;
                  }
                  self->mExchange->mChunkHandler = std::move(handler);
                  self->DeliverChunk();
                });
}

void
ServerConnection::DeliverChunk()
{
  ServerExchange& exchange = *mExchange;
  if (!exchange.mChunkHandler || !exchange.mReadyChunk) {
    return;
  }
  const ChunkHandler handler = std::exchange(exchange.mChunkHandler, {});
  auto chunk = std::move(*exchange.mReadyChunk);
  exchange.mReadyChunk.reset();
  if (!mClosed) {
    ReadBody();
  }
  handler(std::move(chunk));
}

// After a call was read completely, the socket becomes readable only when the
// caller closes it or pipelines its next call.
void
ServerConnection::WatchForClose()
{
  if (mWatching || mBuffer.size() > 0) {
    return;
  }
  mWatching = true;
  mSocket.async_wait(net::socket_base::wait_read,
                     [self = shared_from_this()](Code aCode) {
                       self->mWatching = false;
                       if (!aCode && !self->mClosed) {
                         self->OnReadable();
                       }
                     });
}

void
ServerConnection::OnReadable()
{
  if (!mExchange || !mExchange->mBodyEnded) {
    return;
  }
  char byte = 0;
  Code code;
  mSocket.receive(net::buffer(&byte, 1), net::socket_base::message_peek, code);
  if (code == net::error::would_block) {
    WatchForClose();
  } else if (code) {
    Close();
  }
}

void
ServerConnection::OnResponse(std::uint64_t aExchange,
                             core::Expected<Response> aResponse)
{
  if (mClosed || !mExchange || mExchange->mId != aExchange ||
      mExchange->mResponded) {
    return;
  }
  mExchange->mResponded = true;
  ResponseHooks hooks;
  hooks.mCanKeepAlive = [this] { return CanKeepAlive(); };
  hooks.mOnWriting = [this](bool aWriting) {
    if (aWriting) {
      mTimer->SetTimeout(mListener->Settings().mIdleTimeout);
    } else {
      mTimer->Clear();
    }
  };
  hooks.mOnDone = [this](bool aComplete, bool aKeepAlive) {
    OnResponseWritten(aComplete, aKeepAlive);
  };
  const auto writer = std::make_shared<ResponseWriter>(
    std::shared_ptr<net::ip::tcp::socket>(shared_from_this(), &mSocket),
    mExchange->mIsHead,
    std::move(hooks));
  mExchange->mWriter = writer;
  writer->Start(std::move(aResponse));
}

bool
ServerConnection::IsBodyShort() const
{
  const auto length = mParser->content_length();
  return length && *length <= kChunkBytes;
}

bool
ServerConnection::CanKeepAlive() const
{
  return mKeepAlive && !mListener->IsStopping() &&
         (mExchange->mBodyEnded || IsBodyShort());
}

void
ServerConnection::OnResponseWritten(bool aComplete, bool aKeepAlive)
{
  if (!aComplete) {
    Close();
    return;
  }
  mKeepAlive = aKeepAlive;
  mExchange->mResponseWritten = true;
  mExchange->mToken.reset();
  mExchange->mCancellation->Clear();
  EndCall();
}

void
ServerConnection::EndCall()
{
  if (!mKeepAlive) {
    Linger();
    return;
  }
  if (!mExchange->mBodyEnded) {
    // The rest of a short body is still arriving; OnBody() calls EndCall()
    // again.
    mTimer->SetTimeout(mListener->Settings().mHeaderTimeout);
    return;
  }
  mExchange.reset();
  ReadHead();
  if (mListener->IsStopping()) {
    // The response was started before Stop(), without "Connection: close".
    Stop();
  }
}

void
ServerConnection::Linger()
{
  Code code;
  mSocket.shutdown(net::ip::tcp::socket::shutdown_send, code);
  if (code) {
    Close();
    return;
  }
  mDraining = true;
  mTimer->SetTimeout(kLingerTimeout);
  EndBody(
    core::MakeError(core::ErrorKind::BodyIncomplete, "the call has ended"));
  // If a read is in flight, OnBody() calls Drain().
  if (!mExchange->mReading) {
    Drain();
  }
}

void
ServerConnection::Drain()
{
  DrainSocket(
    std::shared_ptr<net::ip::tcp::socket>(shared_from_this(), &mSocket),
    kLingerBytes,
    [self = shared_from_this()] { self->Close(); });
}

} // namespace nutmegrock::transport::http
