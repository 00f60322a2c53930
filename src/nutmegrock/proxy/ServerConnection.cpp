#include "proxy/ServerConnection.h"

#include "core/ErrorKind.h"
#include "proxy/HttpListener.h"
#include "proxy/MessageText.h"

#include <boost/beast/http/error.hpp>
#include <utility>

namespace nutmegrock::proxy {

namespace {

namespace http = boost::beast::http;

/// Time for a caller to read the last response before its connection is closed.
constexpr std::chrono::seconds kLingerTimeout{ 1 };

/// Maximum bytes of a body that are read after its response, and time for them.
/// A caller that sends more has its connection closed.
constexpr std::size_t kMaxDrainedBytes = std::size_t{ 1024 } * 1024;
constexpr std::chrono::seconds kDrainTimeout{ 5 };

/// Time after which a connection is closed whose caller neither sends the rest
/// of a request nor reads a response. Requests on a route end at their time
/// limit before; others have none.
constexpr std::chrono::seconds kStallTimeout{ 60 };

unsigned
StatusOf(const boost::beast::error_code& aCode)
{
  if (aCode == http::error::header_limit) {
    return 431;
  }
  if (aCode == http::error::body_limit) {
    return 413;
  }
  return 400;
}

} // namespace

ServerConnection::ServerConnection(HttpListener& aListener)
  : mListener(aListener)
{
}

void
ServerConnection::Start(Channel::Socket aSocket)
{
  mSince = mListener.Now();
  RestartProgress();
  ChannelHooks hooks;
  hooks.mOnBytes = [self = shared_from_this()](std::string_view aBytes) {
    self->OnBytes(aBytes);
  };
  hooks.mOnEnd = [self = shared_from_this()](bool) { self->OnEnd(); };
  hooks.mOnSent = [self = shared_from_this()] { self->OnSent(); };
  mChannel = Channel::Open(std::move(aSocket), std::move(hooks));
}

void
ServerConnection::OnSent()
{
  const std::size_t unsent = mChannel->Unsent();
  if (unsent < mUnsentBefore) {
    OnProgress(mUnsentBefore - unsent);
    // A caller that reads the last response slowly is not idle.
    if (unsent > 0 && IsIdle() && !mLingering) {
      mSince = mListener.Now();
    }
  }
  mUnsentBefore = unsent;
  if (!mExchanges.empty() && mExchanges.front()->mSink) {
    const auto sink = mExchanges.front()->mSink;
    sink->OnResponseSent();
  }
  ParseInput();
  UpdatePause();
  Account();
}

void
ServerConnection::ParseInput()
{
  if (!mInput.empty() && (mReading || mParser || CanBegin())) {
    const std::string input = std::exchange(mInput, {});
    mInput = ParseBytes(input);
  }
}

void
ServerConnection::OnBytes(std::string_view aBytes)
{
  const bool unwanted = mNoMoreRequests && !mReading;
  if (mLingering || mClosed || unwanted) {
    return;
  }
  OnProgress(aBytes.size());
  if (!mInput.empty()) {
    mInput += aBytes;
    ParseInput();
  } else {
    // Nothing that was received waits, so the caller is ahead by no more than
    // what is in flight.
    if (!mParser) {
      mAhead = mExchanges.size();
    }
    mInput = ParseBytes(aBytes);
  }
  UpdatePause();
  Account();
}

std::string_view
ServerConnection::ParseBytes(std::string_view aBytes)
{
  // A request that has begun is read on, whatever the others do.
  while (!aBytes.empty() && !mClosed && !mLingering &&
         (mReading || !mNoMoreRequests) && (mParser || CanBegin())) {
    if (!mParser) {
      ParserHooks hooks;
      hooks.mOnHead = [this] { OnHead(); };
      hooks.mOnBody = [this](std::string_view aBody) { OnBody(aBody); };
      const auto& limits = mListener.Limits();
      mParser = std::make_unique<RequestParser>(mListener.Names(),
                                                std::move(hooks),
                                                limits.mMaxHeaderBytes,
                                                limits.mMaxBodyBytes);
      mHeadStarted = true;
      mSince = mListener.Now();
      RestartProgress();
    }
    boost::beast::error_code code;
    const std::size_t used = mParser->Put(aBytes, code);
    aBytes.remove_prefix(used);
    if (mClosed || mLingering) {
      return {};
    }
    if (mParser->HasHead() && mParser->IsDone()) {
      OnMessageEnd();
      continue;
    }
    if (code == http::error::need_more) {
      // Body bytes are always consumed, so the rest belongs to a head or to the
      // framing of a chunk.
      return aBytes;
    }
    if (code) {
      OnParseError(code);
      return {};
    }
  }
  return aBytes;
}

void
ServerConnection::OnHead()
{
  mHeadStarted = false;
  RestartProgress();
  auto exchange = std::make_shared<ServerExchange>(
    weak_from_this(), std::move(mParser->MessageHead()));
  exchange->mRequestIdName = mListener.Names().mRequestId;
  exchange->mInFlightBefore = mExchanges.size();
  exchange->mIsAhead = CountAhead();
  mExchanges.push_back(exchange);
  CountPipelined();
  exchange->mIsFront = mExchanges.size() == 1;
  mReading = exchange;
  if (!exchange->mHead.mKeepAlive) {
    exchange->mClose = true;
  }
  mDrainedBytes = 0;
  exchange->mContinueDue = exchange->mHead.mExpectsContinue;
  if (exchange->mIsFront) {
    OnFront(*exchange);
  }
  exchange->mSink = mListener.Handle(exchange);
  ReleaseSink(*exchange);
}

// The request is the oldest without a complete response.
void
ServerConnection::OnFront(ServerExchange& aExchange)
{
  aExchange.mIsFront = true;
  if (std::exchange(aExchange.mContinueDue, false)) {
    mChannel->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
  if (!aExchange.mBuffered.empty()) {
    mChannel->Write(std::exchange(aExchange.mBuffered, {}));
  }
}

// Breaks the reference cycle between sink and exchange once both sides have
// ended.
void
ServerConnection::ReleaseSink(ServerExchange& aExchange)
{
  if (aExchange.mEnded && (aExchange.mBodyEnded || mLingering || mClosed)) {
    aExchange.mSink.reset();
  }
}

void
ServerConnection::OnBody(std::string_view aBytes)
{
  if (!mReading) {
    return;
  }
  mReading->mContinueDue = false;
  const bool answered = mReading->mEnded;
  if (const auto sink = mReading->mSink) {
    sink->OnRequestBody(aBytes);
  }
  mDrainedBytes += answered ? aBytes.size() : 0;
  if (mDrainedBytes > kMaxDrainedBytes) {
    mNoMoreRequests = true;
    FlushResponses();
  }
}

void
ServerConnection::OnMessageEnd()
{
  mParser.reset();
  RestartProgress();
  const ServerExchangePtr exchange = std::exchange(mReading, nullptr);
  if (!exchange) {
    return;
  }
  exchange->mBodyEnded = true;
  if (exchange->mClose) {
    mNoMoreRequests = true;
  }
  if (exchange->mSink) {
    const auto sink = exchange->mSink;
    sink->OnRequestEnd();
  }
  ReleaseSink(*exchange);
  FlushResponses();
}

void
ServerConnection::OnParseError(boost::beast::error_code aCode)
{
  mNoMoreRequests = true;
  if (mReading) {
    // The end of the body cannot be determined.
    OnEnd();
    return;
  }
  const auto exchange =
    std::make_shared<ServerExchange>(weak_from_this(), RequestHead{});
  exchange->mBodyEnded = true;
  exchange->mClose = true;
  mExchanges.push_back(exchange);
  exchange->mIsFront = mExchanges.size() == 1;
  mListener.CountBadRequest();
  exchange->SendResponse(StatusOf(aCode),
                         HeaderLine("Content-Type", "text/plain"),
                         "the request could not be read: " + aCode.message() +
                           "\n");
}

void
ServerConnection::OnExchangeEnded()
{
  FlushResponses();
}

void
ServerConnection::FlushResponses()
{
  if (mFlushing || mClosed) {
    return;
  }
  mFlushing = true;
  while (!mExchanges.empty() && !mClosed) {
    const ServerExchangePtr front = mExchanges.front();
    if (!front->mIsFront) {
      OnFront(*front);
    }
    if (!front->mEnded) {
      break;
    }
    if (front->mBroken) {
      mFlushing = false;
      Close();
      return;
    }
    mExchanges.pop_front();
    CountPipelined();
    ReleaseSink(*front);
    if (front->mClose) {
      mFlushing = false;
      Linger();
      return;
    }
  }
  mFlushing = false;
  if (mExchanges.empty() && mNoMoreRequests) {
    Linger();
    return;
  }
  if (mExchanges.empty()) {
    mSince = mListener.Now();
  }
  ParseInput();
  UpdatePause();
}

void
ServerConnection::Linger()
{
  // Requests after the last response are not read.
  mLingering = true;
  mNoMoreRequests = true;
  mSince = mListener.Now();
  DropExchanges();
  mChannel->SetPaused(false);
  mChannel->ShutdownAfterSend();
}

void
ServerConnection::DropExchanges()
{
  std::deque<ServerExchangePtr> exchanges;
  exchanges.swap(mExchanges);
  CountPipelined();
  if (mReading && (exchanges.empty() || exchanges.back() != mReading)) {
    exchanges.push_back(mReading);
  }
  mReading.reset();
  for (const ServerExchangePtr& exchange : exchanges) {
    if (const auto sink = std::exchange(exchange->mSink, nullptr)) {
      if (!exchange->mEnded || !exchange->mBodyEnded) {
        exchange->mEnded = true;
        sink->OnDisconnect();
      }
    }
  }
}

void
ServerConnection::OnEnd()
{
  Close();
}

void
ServerConnection::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  const auto self = shared_from_this();
  DropExchanges();
  mChannel->Close();
  Account();
  mListener.Remove(this);
}

void
ServerConnection::Write(std::string_view aBytes)
{
  if (mClosed) {
    return;
  }
  if (mChannel->Unsent() == 0) {
    RestartProgress();
  }
  mChannel->Write(aBytes);
  mUnsentBefore = mChannel->Unsent();
  Account();
}

std::size_t
ServerConnection::Unsent() const
{
  return mChannel->Unsent();
}

bool
ServerConnection::IsBusy() const
{
  return !IsIdle() || mHeadStarted || mLingering || mChannel->Unsent() > 0;
}

bool
ServerConnection::ClosesAfter(const ServerExchange& aExchange)
{
  mNoMoreRequests = mNoMoreRequests || mListener.IsStopping();
  return mNoMoreRequests &&
         (mExchanges.empty() || mExchanges.back().get() == &aExchange);
}

void
ServerConnection::UpdatePause()
{
  if (mClosed) {
    return;
  }
  const bool held =
    mReading ? mReading->IsBodyPaused() : !mParser && !CanBegin();
  const bool paused =
    !mLingering && (held || mDrainedBytes > kMaxDrainedBytes ||
                    mChannel->Unsent() > kMaxUnsent);
  mChannel->SetPaused(paused);
}

void
ServerConnection::Tick(core::TimePoint aNow)
{
  const auto& limits = mListener.Limits();
  const auto age = aNow - mSince;
  Account();
  if (Wait() == ConnectionWait::Caller && aNow - mProgressAt > kStallTimeout) {
    mListener.CloseFor(CloseReason::Stalled, *this);
    return;
  }
  if (mLingering) {
    if (age > kLingerTimeout) {
      Close();
    }
    return;
  }
  if (mHeadStarted && age > limits.mHeaderTimeout) {
    Close();
    return;
  }
  if (mReading && mExchanges.empty() && age > kDrainTimeout) {
    Linger();
    return;
  }
  if (IsIdle() && !mHeadStarted && age > limits.mIdleTimeout) {
    Close();
  }
}

} // namespace nutmegrock::proxy
