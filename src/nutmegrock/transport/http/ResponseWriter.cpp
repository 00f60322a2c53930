#include "transport/http/ResponseWriter.h"

#include "transport/http/ErrorResponse.h"
#include "transport/http/HeaderRules.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/write.hpp>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::transport::http {

namespace {

namespace beast_http = boost::beast::http;

bool
IsFinalStatus(unsigned aStatus)
{
  return aStatus >= 200 && aStatus <= 599;
}

} // namespace

ResponseWriter::ResponseWriter(
  std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
  bool aIsHead,
  ResponseHooks aHooks)
  : mSocket(std::move(aSocket))
  , mIsHead(aIsHead)
  , mHooks(std::move(aHooks))
{
}

void
ResponseWriter::Start(core::Expected<Response> aResponse)
{
  if (aResponse && !IsFinalStatus(aResponse->mHead.mStatus)) {
    aResponse = core::Fail(
      core::ErrorKind::BackendProtocol,
      fmt::format("{} is not a final status", aResponse->mHead.mStatus));
  }
  mResponse =
    aResponse ? std::move(*aResponse) : ErrorResponse(aResponse.error());
  const unsigned status = mResponse.mHead.mStatus;
  mHasBody = !mIsHead && status != 204 && status != 304;
  if (!mHasBody || !mResponse.mBody) {
    OnChunk(BodyChunk{ {}, true });
    return;
  }
  Pull();
}

void
ResponseWriter::Abort()
{
  mEnded = true;
  mHooks = {};
  if (!mPulling) {
    mResponse.mBody.reset();
  }
}

void
ResponseWriter::Pull()
{
  mPulling = true;
  mResponse.mBody->Next(
    [self = shared_from_this()](core::Expected<BodyChunk> aChunk) {
      boost::asio::dispatch(self->mSocket->get_executor(),
                            [self, chunk = std::move(aChunk)]() mutable {
                              self->mPulling = false;
                              self->OnChunk(std::move(chunk));
                            });
    });
}

void
ResponseWriter::OnChunk(core::Expected<BodyChunk> aChunk)
{
  if (mEnded) {
    mResponse.mBody.reset();
    return;
  }
  if (!aChunk && !mSerializer) {
    mResponse = ErrorResponse(aChunk.error());
    Pull();
    return;
  }
  if (!aChunk) {
    Finish(false);
    return;
  }
  mChunk = std::move(*aChunk);
  mBytes += mChunk.mBytes.size();
  if (mHasBody && !IsSizeValid()) {
    Finish(false);
    return;
  }
  if (!mSerializer) {
    PrepareHead();
  }
  Write();
}

// A body longer or shorter than its Content-Length must not appear complete, so
// its last bytes are not written.
bool
ResponseWriter::IsSizeValid() const
{
  const auto& size = mResponse.mHead.mBodySize;
  return !size || (mChunk.mLast ? mBytes == *size : mBytes <= *size);
}

void
ResponseWriter::PrepareHead()
{
  const ResponseHead& head = mResponse.mHead;
  mMessage.version(11);
  mMessage.result(head.mStatus);
  AddHeaders(head.mHeaders, mMessage);
  if (mChunk.mLast && mHasBody) {
    mMessage.content_length(mBytes);
  } else if (head.mBodySize && head.mStatus != 204) {
    mMessage.content_length(*head.mBodySize);
  } else if (mHasBody) {
    mMessage.chunked(true);
  }
  mMessage.keep_alive(mHooks.mCanKeepAlive());
  mSerializer.emplace(mMessage);
}

void
ResponseWriter::Write()
{
  auto& body = mMessage.body();
  body.data = mChunk.mBytes.empty() ? nullptr : mChunk.mBytes.data();
  body.size = mChunk.mBytes.size();
  body.more = !mChunk.mLast;
  mHooks.mOnWriting(true);
  const auto done = [self = shared_from_this()](Code aCode, std::size_t) {
    self->OnWritten(aCode);
  };
  if (mHasBody) {
    beast_http::async_write(*mSocket, *mSerializer, done);
  } else {
    beast_http::async_write_header(*mSocket, *mSerializer, done);
  }
}

void
ResponseWriter::OnWritten(Code aCode)
{
  if (mEnded) {
    mResponse.mBody.reset();
    return;
  }
  mHooks.mOnWriting(false);
  if (aCode && aCode != beast_http::error::need_buffer) {
    Finish(false);
    return;
  }
  if (mChunk.mLast) {
    Finish(true);
    return;
  }
  Pull();
}

void
ResponseWriter::Finish(bool aComplete)
{
  mEnded = true;
  mResponse.mBody.reset();
  const ResponseHooks hooks = std::exchange(mHooks, {});
  hooks.mOnDone(aComplete, aComplete && mMessage.keep_alive());
}

} // namespace nutmegrock::transport::http
