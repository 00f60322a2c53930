#include "proxy/ClientConnection.h"

#include "proxy/ClientPool.h"
#include "proxy/MessageText.h"

#include <limits>
#include <utility>

namespace nutmegrock::proxy {

namespace {

namespace http = boost::beast::http;

/// Maximum size of a response head in bytes.
constexpr std::uint32_t kMaxHeaderBytes = 64U * 1024U;

/// Maximum size of interim responses and responses to earlier requests that
/// arrive before the response to the current request, in bytes.
constexpr std::size_t kMaxDroppedBytes = std::size_t{ 1024 } * 1024;

/// Idle time after which a connection is not reused if the other side has sent
/// no keep-alive timeout.
constexpr std::chrono::seconds kDefaultIdleTimeout{ 4 };

/// Fraction of the other side's keep-alive timeout that is used; the rest
/// covers the transit time.
constexpr double kIdleFraction = 0.6;

} // namespace

ClientConnection::ClientConnection(ClientPool& aPool, std::string aKey)
  : mPool(aPool)
  , mKey(std::move(aKey))
  , mMaxIdleTime(kDefaultIdleTimeout)
{
}

void
ClientConnection::Connect(const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  mConnecting = true;
  mSince = mPool.Now();
  ChannelHooks hooks;
  hooks.mOnBytes = [self = shared_from_this()](std::string_view aBytes) {
    self->OnBytes(aBytes);
  };
  hooks.mOnEnd = [self = shared_from_this()](bool aClean) {
    self->OnEnd(aClean);
  };
  hooks.mOnSent = [self = shared_from_this()] {
    const auto sink = self->mSink.lock();
    if (sink && self->mBusy && !self->mBodyEnded) {
      sink->OnRequestSent();
    }
  };
  mChannel = Channel::Connect(mPool.Io(),
                              aEndpoint,
                              std::move(hooks),
                              [self = shared_from_this()](bool aSuccess) {
                                self->OnConnected(aSuccess);
                              });
}

void
ClientConnection::OnConnected(bool aSuccess)
{
  if (mClosed) {
    return;
  }
  if (!aSuccess) {
    FailConnecting();
    return;
  }
  mConnecting = false;
}

void
ClientConnection::FailConnecting()
{
  const auto sink = mSink.lock();
  Close();
  if (sink) {
    sink->OnResponseFailed(core::MakeError(core::ErrorKind::BackendUnreachable,
                                           "cannot connect to " + mKey));
  }
}

void
ClientConnection::Start(ClientRequest aRequest,
                        std::weak_ptr<ResponseSink> aSink)
{
  mBusy = true;
  ++mRequestNumber;
  mSink = std::move(aSink);
  mRequestId = std::move(aRequest.mRequestId);
  mFraming = aRequest.mFraming;
  mIsHead = aRequest.mIsHead;
  mBodyEnded = false;
  mResponded = false;
  mUnexpected = false;
  mKeepAlive = true;
  mDroppedBytes = 0;
  mParser.reset();
  mChannel->Write(aRequest.mHead);
  if (!aRequest.mBody.empty()) {
    SendBody(aRequest.mBody);
  }
  if (aRequest.mBodyComplete) {
    EndBody();
  }
}

void
ClientConnection::SendBody(std::string_view aBytes)
{
  if (mClosed || mBodyEnded || aBytes.empty()) {
    return;
  }
  if (mFraming != BodyFraming::Chunked) {
    mChannel->Write(aBytes);
    return;
  }
  std::string text;
  text.reserve(aBytes.size() + 16);
  AddChunk(text, aBytes);
  mChannel->Write(text);
}

void
ClientConnection::EndBody()
{
  if (mClosed || mBodyEnded) {
    return;
  }
  if (mFraming == BodyFraming::Chunked) {
    mChannel->Write(kLastChunk);
  }
  mBodyEnded = true;
  MaybeFinish();
}

void
ClientConnection::PauseResponse(bool aPaused)
{
  // After the response, OnBytesAfterResponse() decides.
  if (!mClosed && !mResponded) {
    mChannel->SetPaused(aPaused);
  }
}

void
ClientConnection::MakeParser()
{
  ParserHooks hooks;
  hooks.mOnHead = [this] { OnHead(); };
  hooks.mOnBody = [this](std::string_view aBytes) { OnBody(aBytes); };
  mParser =
    std::make_unique<ResponseParser>(mPool.Names(),
                                     std::move(hooks),
                                     kMaxHeaderBytes,
                                     std::numeric_limits<std::uint64_t>::max());
  if (mIsHead) {
    mParser->ExpectNoBody();
  }
}

void
ClientConnection::OnBytes(std::string_view aBytes)
{
  const auto self = shared_from_this();
  if (!mBusy || mResponded) {
    OnBytesAfterResponse();
    return;
  }
  std::string joined;
  if (!mInput.empty()) {
    joined = std::exchange(mInput, {});
    joined += aBytes;
    aBytes = joined;
  }
  while (!aBytes.empty() && !mClosed && mBusy && !mResponded) {
    if (!mParser) {
      MakeParser();
    }
    boost::beast::error_code code;
    const std::size_t used = mParser->Put(aBytes, code);
    aBytes.remove_prefix(used);
    if (mClosed) {
      return;
    }
    const bool dropped = mParser->HasHead() &&
                         (mUnexpected || mParser->MessageHead().mStatus < 200);
    if (dropped && !CountDropped(used)) {
      return;
    }
    if (code && code != http::error::need_more) {
      Fail(core::ErrorKind::BackendProtocol,
           "the response is not valid HTTP: " + code.message());
      return;
    }
    if (mParser->HasHead() && mParser->IsDone()) {
      // Bytes after a complete response belong to no request; the connection is
      // not reused.
      if (!aBytes.empty() && !mUnexpected &&
          mParser->MessageHead().mStatus >= 200) {
        mKeepAlive = false;
        mPool.CountUnexpectedResponse();
      }
      OnMessageEnd();
      continue;
    }
    if (code == http::error::need_more) {
      mInput = aBytes;
      return;
    }
  }
}

// Bytes that belong to no request. While the rest of a request's body is sent
// they are left unread, since they may have no end.
void
ClientConnection::OnBytesAfterResponse()
{
  mPool.CountUnexpectedResponse();
  if (mBusy) {
    mKeepAlive = false;
    mChannel->SetPaused(true);
    return;
  }
  Close();
}

bool
ClientConnection::CountDropped(std::size_t aBytes)
{
  mDroppedBytes += aBytes;
  if (mDroppedBytes <= kMaxDroppedBytes) {
    return true;
  }
  Fail(core::ErrorKind::BackendProtocol,
       "too many bytes of other responses before the response");
  return false;
}

void
ClientConnection::OnHead()
{
  const ResponseHead& head = mParser->MessageHead();
  if (head.mStatus < 200) {
    return;
  }
  mUnexpected = !head.mRequestId.empty() && head.mRequestId != mRequestId;
  if (mUnexpected) {
    mPool.CountUnexpectedResponse();
    return;
  }
  // Another response may arrive late, and without an id nothing tells it apart.
  if (head.mRequestId.empty() && !mRequestId.empty() && mRequestNumber > 1) {
    mPool.CountUnexpectedResponse();
    Fail(
      core::ErrorKind::BackendProtocol,
      "a response without a request id on a connection that has served other "
      "requests");
    return;
  }
  mKeepAlive = mKeepAlive && head.mKeepAlive;
  if (head.mIdleTimeout) {
    mMaxIdleTime = std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(*head.mIdleTimeout) * kIdleFraction);
  }
  if (const auto sink = mSink.lock()) {
    sink->OnResponseHead(head);
  }
}

void
ClientConnection::OnBody(std::string_view aBytes)
{
  if (mUnexpected || mClosed) {
    return;
  }
  if (const auto sink = mSink.lock()) {
    sink->OnResponseBody(aBytes);
  }
}

void
ClientConnection::OnMessageEnd()
{
  const bool final = mParser->MessageHead().mStatus >= 200 && !mUnexpected;
  const bool keep = mParser->MessageHead().mKeepAlive;
  mParser.reset();
  mUnexpected = false;
  if (!final) {
    if (!keep) {
      Fail(core::ErrorKind::BackendProtocol,
           "the connection closed after the response to another request");
    }
    return;
  }
  mResponded = true;
  // Nothing resumes reading after the response, and the end of the connection
  // must be noticed before it is used again.
  mChannel->SetPaused(false);
  const auto sink = mSink.lock();
  if (mBodyEnded) {
    mSink.reset();
  }
  MaybeFinish();
  if (sink) {
    sink->OnResponseEnd();
  }
}

void
ClientConnection::MaybeFinish()
{
  if (!mResponded || !mBodyEnded || !mBusy || mClosed) {
    return;
  }
  mBusy = false;
  mSink.reset();
  if (!mKeepAlive || mChannel->HasSendFailed()) {
    Close();
    return;
  }
  mChannel->SetPaused(false);
  mSince = mPool.Now();
  mPool.Return(shared_from_this());
}

void
ClientConnection::OnEnd(bool aClean)
{
  const auto self = shared_from_this();
  if (!mBusy || mResponded) {
    Close();
    return;
  }
  if (aClean && mParser && mParser->HasHead() && !mUnexpected) {
    boost::beast::error_code code;
    mParser->PutEnd(code);
    if (!code && mParser->IsDone()) {
      mKeepAlive = false;
      OnMessageEnd();
      Close();
      return;
    }
  }
  const bool begun = mParser && mParser->HasHead();
  Fail(begun ? core::ErrorKind::BackendProtocol : core::ErrorKind::PeerLost,
       begun ? "the response ended early"
             : "the connection ended without a response");
}

void
ClientConnection::Fail(core::ErrorKind aKind, const std::string& aMessage)
{
  const auto sink = mSink.lock();
  Close();
  if (sink) {
    sink->OnResponseFailed(
      core::MarkPossiblyRun(core::MakeError(aKind, mKey + ": " + aMessage)));
  }
}

void
ClientConnection::Abandon()
{
  mSink.reset();
  // The other side may have stopped reading the body.
  mChannel->Abort();
  Close();
}

void
ClientConnection::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mBusy = false;
  const auto self = shared_from_this();
  mChannel->Close();
  mPool.Remove(this);
}

bool
ClientConnection::IsStale(core::TimePoint aNow) const
{
  return aNow - mSince > mMaxIdleTime;
}

} // namespace nutmegrock::proxy
