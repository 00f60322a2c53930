#include "proxy/ServerExchange.h"

#include "proxy/MessageText.h"
#include "proxy/ServerConnection.h"

#include <utility>

namespace nutmegrock::proxy {

ServerExchange::ServerExchange(std::weak_ptr<ServerConnection> aConnection,
                               RequestHead aHead)
  : mConnection(std::move(aConnection))
  , mHead(std::move(aHead))
{
}

void
ServerExchange::Write(std::string_view aBytes)
{
  if (!mIsFront) {
    mBuffered += aBytes;
    return;
  }
  if (const auto connection = mConnection.lock()) {
    connection->Write(aBytes);
  }
}

void
ServerExchange::SendHead(const ResponseHead& aHead,
                         std::string_view aExtraLines)
{
  const auto connection = mConnection.lock();
  if (!connection || mHeadSent) {
    return;
  }
  mHeadSent = true;
  const bool head_only = mHead.mMethod == "HEAD";
  const bool empty = aHead.mStatus == 204 || aHead.mStatus == 304;
  mNoBody = head_only || empty;
  const bool no_length = aHead.mFraming == BodyFraming::Chunked ||
                         aHead.mFraming == BodyFraming::UntilClose;
  mChunked = no_length && mHead.mTakesChunks;
  mUntilClose = no_length && !mHead.mTakesChunks;
  // A caller that still waits for an interim response may leave out the body.
  const bool closes = connection->ClosesAfter(*this);
  mClose = mClose || !mHead.mKeepAlive || mContinueDue || closes || mUntilClose;
  mContinueDue = false;
  std::string text = StatusLine(aHead.mStatus, aHead.mReason);
  text += aHead.mHeaderLines;
  text += aExtraLines;
  if (mUntilClose) {
    connection->SetResetOnClose(true);
  } else if (!empty) {
    const bool none = aHead.mFraming == BodyFraming::None;
    AddFraming(text,
               none ? BodyFraming::Length : aHead.mFraming,
               none ? 0 : aHead.mLength);
  }
  if (mClose) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  Write(text);
}

void
ServerExchange::SendBody(std::string_view aBytes)
{
  if (mNoBody || mEnded || aBytes.empty()) {
    return;
  }
  if (!mChunked) {
    Write(aBytes);
    return;
  }
  std::string text;
  text.reserve(aBytes.size() + 16);
  AddChunk(text, aBytes);
  Write(text);
}

void
ServerExchange::End()
{
  if (mEnded) {
    return;
  }
  if (mChunked && !mNoBody) {
    Write(kLastChunk);
  }
  mEnded = true;
  if (const auto connection = mConnection.lock()) {
    connection->OnExchangeEnded();
  }
}

void
ServerExchange::Abort()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  mBroken = true;
  if (const auto connection = mConnection.lock()) {
    connection->OnExchangeEnded();
  }
}

void
ServerExchange::SendResponse(unsigned aStatus,
                             std::string_view aExtraLines,
                             std::string_view aBody)
{
  constexpr unsigned kRefused = 503;
  if (const auto connection = mConnection.lock();
      connection && mIsAhead && aStatus == kRefused) {
    connection->OnAheadRefused();
  }
  ResponseHead head;
  head.mStatus = aStatus;
  head.mFraming = BodyFraming::Length;
  head.mLength = aBody.size();
  SendHead(head, aExtraLines);
  SendBody(aBody);
  End();
}

void
ServerExchange::PassBody(OutgoingRequest& aOutgoing, std::string_view aBytes)
{
  aOutgoing.SendBody(aBytes);
  if (aOutgoing.Unsent() <= kMaxUnsent) {
    return;
  }
  if (mEnded) {
    aOutgoing.Cancel();
  } else {
    PauseBody(true);
  }
}

void
ServerExchange::PauseBody(bool aPaused)
{
  if (mBodyPaused == aPaused) {
    return;
  }
  mBodyPaused = aPaused;
  if (const auto connection = mConnection.lock()) {
    connection->UpdatePause();
  }
}

std::size_t
ServerExchange::Unsent() const
{
  if (!mIsFront) {
    return mBuffered.size();
  }
  const auto connection = mConnection.lock();
  return connection ? connection->Unsent() : 0;
}

} // namespace nutmegrock::proxy
