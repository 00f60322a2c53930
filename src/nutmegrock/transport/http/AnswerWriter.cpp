#include "transport/http/AnswerWriter.h"

#include "transport/http/ErrorAnswer.h"
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

AnswerWriter::AnswerWriter(
  std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
  bool aIsHead,
  AnswerHooks aHooks)
  : mSocket(std::move(aSocket))
  , mIsHead(aIsHead)
  , mHooks(std::move(aHooks))
{
}

void
AnswerWriter::Start(core::Expected<Answer> aAnswer)
{
  if (aAnswer && !IsFinalStatus(aAnswer->mHead.mStatus)) {
    aAnswer = core::Fail(
      core::ErrorKind::BackendProtocol,
      fmt::format("{} is not a final status", aAnswer->mHead.mStatus));
  }
  mAnswer = aAnswer ? std::move(*aAnswer) : ErrorAnswer(aAnswer.error());
  const unsigned status = mAnswer.mHead.mStatus;
  mHasBody = !mIsHead && status != 204 && status != 304;
  if (!mHasBody || !mAnswer.mBody) {
    OnChunk(BodyChunk{ {}, true });
    return;
  }
  Pull();
}

void
AnswerWriter::Abort()
{
  mEnded = true;
  mHooks = {};
  if (!mPulling) {
    mAnswer.mBody.reset();
  }
}

void
AnswerWriter::Pull()
{
  mPulling = true;
  mAnswer.mBody->Next(
    [self = shared_from_this()](core::Expected<BodyChunk> aChunk) {
      boost::asio::dispatch(self->mSocket->get_executor(),
                            [self, chunk = std::move(aChunk)]() mutable {
                              self->mPulling = false;
                              self->OnChunk(std::move(chunk));
                            });
    });
}

void
AnswerWriter::OnChunk(core::Expected<BodyChunk> aChunk)
{
  if (mEnded) {
    mAnswer.mBody.reset();
    return;
  }
  if (!aChunk && !mSerializer) {
    mAnswer = ErrorAnswer(aChunk.error());
    Pull();
    return;
  }
  if (!aChunk) {
    Finish(false);
    return;
  }
  mChunk = std::move(*aChunk);
  mBytes += mChunk.mBytes.size();
  if (mHasBody && !AcceptSize()) {
    Finish(false);
    return;
  }
  if (!mSerializer) {
    PrepareHead();
  }
  Write();
}

// A body longer or shorter than its Content-Length must not look whole, so its
// last bytes are not written.
bool
AnswerWriter::AcceptSize() const
{
  const auto& size = mAnswer.mHead.mBodySize;
  return !size || (mChunk.mLast ? mBytes == *size : mBytes <= *size);
}

void
AnswerWriter::PrepareHead()
{
  const AnswerHead& head = mAnswer.mHead;
  mResponse.version(11);
  mResponse.result(head.mStatus);
  AddHeaders(head.mHeaders, mResponse);
  if (mChunk.mLast && mHasBody) {
    mResponse.content_length(mBytes);
  } else if (head.mBodySize && head.mStatus != 204) {
    mResponse.content_length(*head.mBodySize);
  } else if (mHasBody) {
    mResponse.chunked(true);
  }
  mResponse.keep_alive(mHooks.mMayKeepAlive());
  mSerializer.emplace(mResponse);
}

void
AnswerWriter::Write()
{
  auto& body = mResponse.body();
  body.data = mChunk.mBytes.empty() ? nullptr : mChunk.mBytes.data();
  body.size = mChunk.mBytes.size();
  body.more = !mChunk.mLast;
  mHooks.mWriting(true);
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
AnswerWriter::OnWritten(Code aCode)
{
  if (mEnded) {
    mAnswer.mBody.reset();
    return;
  }
  mHooks.mWriting(false);
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
AnswerWriter::Finish(bool aComplete)
{
  mEnded = true;
  mAnswer.mBody.reset();
  const AnswerHooks hooks = std::exchange(mHooks, {});
  hooks.mDone(aComplete, aComplete && mResponse.keep_alive());
}

} // namespace nutmegrock::transport::http
