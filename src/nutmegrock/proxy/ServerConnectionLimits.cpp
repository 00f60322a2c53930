// What one connection may take from others: its requests in flight, the
// progress of its caller, and its memory.
#include "proxy/HttpListener.h"
#include "proxy/ServerConnection.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::proxy {

namespace {

/// Maximum requests of one connection in flight. Reading pauses beyond it, so
/// that one caller does not take the capacity of others, and that the memory of
/// a connection stays bounded. Further ones count as sent ahead.
constexpr std::size_t kMaxPipelined = 4;

/// Maximum requests in flight behind the first of their connections, over all
/// connections of a listener. Beyond it each connection has one in flight.
constexpr std::size_t kMaxAllPipelined = 64;

/// Maximum requests sent ahead that begin in one turn of a connection, since
/// the thread serves all of them; the next turn is after kTurnInterval.
constexpr std::size_t kMaxPerTurn = 16;

/// Time for which a connection begins no request after one that was sent ahead
/// has been refused. Otherwise a caller that reads no response repeats refused
/// requests as fast as this node can refuse them.
constexpr std::chrono::milliseconds kRefusedPause{ 100 };

/// Bytes that a caller has to send or to read to count as making progress, so
/// that single bytes do not hold a connection.
constexpr std::size_t kProgressBytes = std::size_t{ 4 } * 1024;

} // namespace

void
ServerConnection::RestartProgress()
{
  mProgressAt = mListener.Now();
  mProgressBytes = 0;
}

void
ServerConnection::OnProgress(std::size_t aBytes)
{
  mProgressBytes += aBytes;
  if (mProgressBytes >= kProgressBytes) {
    RestartProgress();
  }
}

ConnectionWait
ServerConnection::Wait() const
{
  if (mLingering || mChannel->Unsent() > 0) {
    return ConnectionWait::Caller;
  }
  if (!mExchanges.empty()) {
    const ServerExchangePtr& front = mExchanges.front();
    return front == mReading && !front->IsBodyPaused() ? ConnectionWait::Caller
                                                       : ConnectionWait::Node;
  }
  return mHeadStarted || mReading ? ConnectionWait::Caller
                                  : ConnectionWait::Request;
}

ConnectionState
ServerConnection::State() const
{
  const ConnectionWait wait = Wait();
  return { wait,
           wait == ConnectionWait::Request ? mSince : mProgressAt,
           mHeldBytes };
}

std::size_t
ServerConnection::HeldBytes() const
{
  std::size_t bytes = mInput.capacity() + mChannel->Unsent();
  for (const ServerExchangePtr& exchange : mExchanges) {
    bytes += exchange->mBuffered.size() + exchange->mHead.mHeaderLines.size();
    bytes += exchange->mSink ? exchange->mSink->HeldBytes() : 0;
  }
  return bytes;
}

void
ServerConnection::Account()
{
  const std::size_t bytes = mClosed ? 0 : HeldBytes();
  mListener.OnHeld(std::exchange(mHeldBytes, bytes), bytes);
}

bool
ServerConnection::CanBegin() const
{
  const bool crowded = mListener.Pipelined() >= kMaxAllPipelined;
  return !mHeld && mExchanges.size() < (crowded ? 1 : kMaxPipelined) &&
         mChannel->Unsent() <= kMaxUnsent;
}

void
ServerConnection::HoldUntil(core::TimePoint aTime)
{
  mHeldUntil = std::max(mHeldUntil, aTime);
  if (!std::exchange(mHeld, true)) {
    mListener.ResumeLater(weak_from_this());
  }
}

bool
ServerConnection::Resume(core::TimePoint aNow)
{
  if (mClosed) {
    return true;
  }
  if (aNow < mHeldUntil) {
    return false;
  }
  mHeld = false;
  mTurn = 0;
  ParseInput();
  UpdatePause();
  return true;
}

void
ServerConnection::OnAheadRefused()
{
  HoldUntil(mListener.Now() + kRefusedPause);
}

void
ServerConnection::CountPipelined()
{
  const std::size_t pipelined = mExchanges.empty() ? 0 : mExchanges.size() - 1;
  mListener.OnPipelined(std::exchange(mPipelined, pipelined), pipelined);
}

bool
ServerConnection::CountAhead()
{
  const bool ahead = mAhead++ >= kMaxPipelined;
  if (ahead && ++mTurn >= kMaxPerTurn) {
    HoldUntil(mListener.Now());
  }
  return ahead;
}

} // namespace nutmegrock::proxy
