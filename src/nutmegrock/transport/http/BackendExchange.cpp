#include "transport/http/BackendExchange.h"

#include "transport/http/BackendRequest.h"
#include "transport/http/HeaderRules.h"
#include "transport/http/ResponseBody.h"

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::transport::http {

namespace {

namespace net = boost::asio;
namespace beast_http = boost::beast::http;

// Maximum bytes of a response body buffered at a time; a body up to this size
// is one chunk.
constexpr std::size_t kChunkBytes = std::size_t{ 64 } * 1024;

// Large enough for a typical head, so that one system call reads it.
constexpr std::size_t kInitialBufferBytes = 4096;

} // namespace

BackendExchange::BackendExchange(std::shared_ptr<ConnectionPool> aPool,
                                 Call aCall,
                                 core::TimePoint aDeadline,
                                 ResponseHandler aHandler)
  : mPool(std::move(aPool))
  , mStrand(mPool->Io().get_executor())
  , mTimer(mPool->Io())
  , mCall(std::move(aCall))
  , mDeadline(aDeadline)
  , mHandler(std::move(aHandler))
{
}

void
BackendExchange::Start()
{
  net::dispatch(mStrand, [self = shared_from_this()] {
    self->WatchCancellation();
    self->SetTimer(self->mDeadline);
    if (!self->mEnded) {
      self->PullBody();
    }
  });
}

void
BackendExchange::WatchCancellation()
{
  if (!mCall.mCancellation) {
    return;
  }
  mCall.mCancellation->OnCancel([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      net::dispatch(self->mStrand, [self] {
        self->Fail(core::MakeError(core::ErrorKind::Cancelled,
                                   "the call was cancelled"));
      });
    }
  });
}

void
BackendExchange::SetTimer(core::TimePoint aTime)
{
  mTimer.expires_at(aTime);
  mTimer.async_wait(
    net::bind_executor(mStrand, [self = shared_from_this()](Code aCode) {
      if (!aCode) {
        self->OnTimer();
      }
    }));
}

void
BackendExchange::OnTimer()
{
  if (core::Clock::now() < mTimer.expiry()) {
    // The timer was reset after this expiry was queued.
    return;
  }
  if (mEnded) {
    // The response is complete, but the last write of the call never finished.
    mReusable = false;
    CloseSocket();
    return;
  }
  if (mSent) {
    Fail(core::MakeError(core::ErrorKind::BackendTimeout,
                         "no complete response before the deadline"));
  } else if (mConnecting && core::Clock::now() < mDeadline) {
    Fail(core::MakeError(
      core::ErrorKind::BackendUnreachable,
      "connecting to " + mPool->Settings().mAddress.ToString() + " timed out"));
  } else {
    Fail(core::MakeError(core::ErrorKind::DeadlineExceeded,
                         "the deadline passed before the call was sent"));
  }
}

void
BackendExchange::PullBody()
{
  if (!mCall.mBody || mCall.mHead.mBodySize == 0U) {
    OnBodyChunk(BodyChunk{ {}, true });
    return;
  }
  mPulling = true;
  mCall.mBody->Next(
    [self = shared_from_this()](core::Expected<BodyChunk> aChunk) {
      net::dispatch(self->mStrand, [self, chunk = std::move(aChunk)]() mutable {
        self->mPulling = false;
        self->OnBodyChunk(std::move(chunk));
      });
    });
}

void
BackendExchange::OnBodyChunk(core::Expected<BodyChunk> aChunk)
{
  if (mEnded) {
    mCall.mBody.reset();
    return;
  }
  if (!aChunk) {
    Fail(std::move(aChunk.error()));
    return;
  }
  mChunk = std::move(*aChunk);
  mBytes += mChunk.mBytes.size();
  const auto& size = mCall.mHead.mBodySize;
  if (size && (mChunk.mLast ? mBytes != *size : mBytes > *size)) {
    Fail(core::MakeError(
      core::ErrorKind::BodyIncomplete,
      fmt::format("the body has {} bytes instead of {}", mBytes, *size)));
    return;
  }
  if (mSent) {
    WriteChunk();
    return;
  }
  Acquire();
}

void
BackendExchange::Acquire()
{
  mPool->Acquire(this,
                 [weak = weak_from_this()](
                   std::unique_ptr<PooledConnection> aConnection) mutable {
                   const auto self = weak.lock();
                   if (!self) {
                     return;
                   }
                   net::dispatch(
                     self->mStrand,
                     [self, connection = std::move(aConnection)]() mutable {
                       self->OnAcquired(std::move(connection));
                     });
                 });
}

void
BackendExchange::OnAcquired(std::unique_ptr<PooledConnection> aConnection)
{
  if (mEnded) {
    mPool->Release(std::move(aConnection), true);
    return;
  }
  mConnection = std::move(aConnection);
  if (mConnection->mSocket.is_open()) {
    StartRequest();
    return;
  }
  Connect();
}

void
BackendExchange::Connect()
{
  mConnecting = true;
  const core::TimePoint latest =
    core::Clock::now() + mPool->Settings().mConnectTimeout;
  if (latest < mDeadline) {
    SetTimer(latest);
  }
  mConnection->mSocket.async_connect(
    mPool->Endpoint(),
    net::bind_executor(mStrand, [self = shared_from_this()](Code aCode) {
      self->OnConnected(aCode);
    }));
}

void
BackendExchange::OnConnected(Code aCode)
{
  mConnecting = false;
  if (mEnded) {
    Release();
    return;
  }
  if (aCode) {
    Fail(core::MakeError(core::ErrorKind::BackendUnreachable,
                         "cannot connect to " +
                           mPool->Settings().mAddress.ToString() + ": " +
                           aCode.message()));
    return;
  }
  Code ignored;
  mConnection->mSocket.set_option(net::ip::tcp::no_delay(true), ignored);
  mConnection->mSocket.non_blocking(true, ignored);
  mConnection->mBuffer.reserve(kInitialBufferBytes);
  SetTimer(mDeadline);
  StartRequest();
}

void
BackendExchange::StartRequest()
{
  const CallHead& head = mCall.mHead;
  FillRequest(head,
              mPool->Settings().mAddress,
              mChunk.mLast ? std::optional(mBytes) : head.mBodySize,
              mRequest);
  mSerializer.emplace(mRequest);
  mSent = true;
  WriteChunk();
  ReadHead();
}

void
BackendExchange::WriteChunk()
{
  mWriting = true;
  auto& body = mRequest.body();
  body.data = mChunk.mBytes.empty() ? nullptr : mChunk.mBytes.data();
  body.size = mChunk.mBytes.size();
  body.more = !mChunk.mLast;
  beast_http::async_write(
    mConnection->mSocket,
    *mSerializer,
    net::bind_executor(mStrand,
                       [self = shared_from_this()](Code aCode, std::size_t) {
                         self->OnWritten(aCode);
                       }));
}

void
BackendExchange::OnWritten(Code aCode)
{
  mWriting = false;
  if (mEnded) {
    mReusable = mReusable && !aCode;
    mTimer.cancel();
    Release();
    return;
  }
  if (aCode && aCode != beast_http::error::need_buffer) {
    // The backend server may have responded before it closed its side, so the
    // pending read decides.
    return;
  }
  if (mChunk.mLast) {
    mWritten = true;
    return;
  }
  PullBody();
}

void
BackendExchange::ReadHead()
{
  mParser.emplace();
  mParser->header_limit(mPool->Settings().mMaxHeaderBytes);
  // Not boost::none, which Boost 1.74 compares as less than every length.
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (mCall.mHead.mMethod == "HEAD") {
    mParser->skip(true);
  }
  mReading = true;
  beast_http::async_read_header(
    mConnection->mSocket,
    mConnection->mBuffer,
    *mParser,
    net::bind_executor(mStrand,
                       [self = shared_from_this()](Code aCode, std::size_t) {
                         self->OnHead(aCode);
                       }));
}

void
BackendExchange::OnHead(Code aCode)
{
  mReading = false;
  if (mEnded) {
    Release();
    return;
  }
  if (aCode) {
    Fail(core::MakeError(core::ErrorKind::BackendProtocol,
                         "no valid response: " + aCode.message()));
    return;
  }
  const auto& message = mParser->get();
  const unsigned status = message.result_int();
  const bool clear = HasClearFraming(message, message.version());
  if (clear && status >= 100 && status < 200 && status != 101) {
    ReadHead();
    return;
  }
  // A body that ends with the connection cannot be distinguished from a
  // truncated one.
  if (!clear || status < 200 || status > 599 || mParser->need_eof()) {
    Fail(core::MakeError(
      core::ErrorKind::BackendProtocol,
      fmt::format("response {} without a verifiable end", status)));
    return;
  }
  Response response;
  response.mHead = TakeHead();
  if (mParser->is_done()) {
    response.mBody = StringBody({});
  } else {
    response.mBody = std::make_shared<ResponseBody>(shared_from_this());
  }
  const ResponseHandler handler = std::exchange(mHandler, {});
  if (mParser->is_done()) {
    Finish(mParser->keep_alive());
  }
  handler(std::move(response));
}

ResponseHead
BackendExchange::TakeHead()
{
  ResponseHead head;
  head.mStatus = mParser->get().result_int();
  head.mHeaders = EndToEndHeaders(mParser->get());
  if (const auto length = mParser->content_length()) {
    head.mBodySize = *length;
  } else if (mParser->is_done()) {
    head.mBodySize = 0;
  }
  return head;
}

void
BackendExchange::NextChunk(ChunkHandler aHandler)
{
  net::dispatch(
    mStrand,
    [self = shared_from_this(), handler = std::move(aHandler)]() mutable {
      self->mChunkHandler = std::move(handler);
      if (self->mEnded) {
        self->ReportError();
        return;
      }
      self->ReadBody();
    });
}

void
BackendExchange::ReadBody()
{
  mReading = true;
  const auto length = mParser->content_length();
  const bool whole = length && *length <= kChunkBytes;
  mReadBuffer.resize(whole ? *length : kChunkBytes);
  if (!whole) {
    mConnection->mBuffer.reserve(kChunkBytes);
  }
  auto& body = mParser->get().body();
  body.data = mReadBuffer.data();
  body.size = mReadBuffer.size();
  auto done = net::bind_executor(
    mStrand, [self = shared_from_this()](Code aCode, std::size_t) {
      const std::size_t left = self->mParser->get().body().size;
      self->OnBody(aCode, self->mReadBuffer.size() - left);
    });
  if (whole) {
    beast_http::async_read(
      mConnection->mSocket, mConnection->mBuffer, *mParser, std::move(done));
  } else {
    beast_http::async_read_some(
      mConnection->mSocket, mConnection->mBuffer, *mParser, std::move(done));
  }
}

void
BackendExchange::OnBody(Code aCode, std::size_t aBytes)
{
  mReading = false;
  if (mEnded) {
    Release();
    return;
  }
  if (aCode && aCode != beast_http::error::need_buffer) {
    Fail(core::MakeError(core::ErrorKind::BackendProtocol,
                         "the response body ended early: " + aCode.message()));
    return;
  }
  const bool last = mParser->is_done();
  if (aBytes == 0 && !last) {
    ReadBody();
    return;
  }
  mReadBuffer.resize(aBytes);
  BodyChunk chunk{ std::move(mReadBuffer), last };
  mReadBuffer.clear();
  const ChunkHandler handler = std::exchange(mChunkHandler, {});
  if (last) {
    Finish(mParser->keep_alive());
  }
  handler(std::move(chunk));
}

void
BackendExchange::Abandon()
{
  net::dispatch(mStrand, [self = shared_from_this()] {
    self->Fail(core::MakeError(core::ErrorKind::Cancelled,
                               "the response body was not read to its end"));
  });
}

void
BackendExchange::Fail(core::Error aError)
{
  if (mEnded) {
    return;
  }
  mError = mSent ? core::MarkPossiblyRun(std::move(aError)) : std::move(aError);
  mPool->CancelAcquire(this);
  const ResponseHandler handler = std::exchange(mHandler, {});
  Finish(false);
  if (handler) {
    handler(tl::make_unexpected(*mError));
  } else {
    ReportError();
  }
}

void
BackendExchange::ReportError()
{
  if (const ChunkHandler handler = std::exchange(mChunkHandler, {})) {
    handler(tl::make_unexpected(mError.value_or(core::MakeError(
      core::ErrorKind::BodyIncomplete, "the body was already read"))));
  }
}

void
BackendExchange::Finish(bool aReusable)
{
  mEnded = true;
  // Completion of the last write may be reported after the complete response.
  mReusable =
    aReusable && !mReading && (mWritten || (mWriting && mChunk.mLast));
  if (!mReusable) {
    CloseSocket();
  }
  if (!mReusable || !mWriting) {
    mTimer.cancel();
  }
  if (!mPulling) {
    mCall.mBody.reset();
  }
  Release();
}

void
BackendExchange::CloseSocket()
{
  if (mConnection) {
    Code ignored;
    mConnection->mSocket.close(ignored);
  }
}

void
BackendExchange::Release()
{
  if (mConnection && !mConnecting && !mWriting && !mReading) {
    mPool->Release(std::move(mConnection), mReusable);
  }
}

} // namespace nutmegrock::transport::http
