#pragma once

#include "core/Time.h"
#include "proxy/Channel.h"
#include "proxy/ConnectionChoice.h"
#include "proxy/MessageParser.h"
#include "proxy/ServerExchange.h"

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegrock::proxy {

class HttpListener;

/// One connection of a caller. Reads pipelined requests while earlier ones are
/// in flight and sends the responses in order. Used on one thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  /// The listener must outlive the connection.
  explicit ServerConnection(HttpListener& aListener);

  void Start(Channel::Socket aSocket);
  void Close();

  /// Writes bytes of responses to the channel.
  void Write(std::string_view aBytes);
  std::size_t Unsent() const;
  void SetResetOnClose(bool aReset) { mChannel->SetResetOnClose(aReset); }
  /// Returns true if the response to this request must announce the close of
  /// the connection: no further request is read, and this one is the last.
  bool ClosesAfter(const ServerExchange& aExchange);
  void OnExchangeEnded();
  /// Pauses or resumes reading according to the current state.
  void UpdatePause();
  /// Applies the timeouts.
  void Tick(core::TimePoint aNow);
  /// Reads requests that were received and held back. Returns false if they
  /// are held back for longer.
  bool Resume(core::TimePoint aNow);
  /// This node has refused a request that was sent ahead.
  void OnAheadRefused();
  bool IsIdle() const { return mExchanges.empty() && !mReading; }
  /// True while a request is in flight or half read, or a response is not yet
  /// received by the caller as far as is known.
  bool IsBusy() const;
  /// What the connection waits for, since when, and the memory that it takes.
  ConnectionState State() const;

private:
  void OnBytes(std::string_view aBytes);
  void OnSent();
  std::string_view ParseBytes(std::string_view aBytes);
  void ParseInput();
  /// Returns true if the next request may begin now.
  bool CanBegin() const;
  /// Counts a request that begins. Returns true if it was sent ahead.
  bool CountAhead();
  void HoldUntil(core::TimePoint aTime);
  /// Reports the requests in flight behind the first to the listener.
  void CountPipelined();
  /// The caller has sent or received bytes.
  void OnProgress(std::size_t aBytes);
  /// The caller has begun or ended sending a request, or a response begins.
  void RestartProgress();
  ConnectionWait Wait() const;
  std::size_t HeldBytes() const;
  /// Reports the memory that the connection takes.
  void Account();
  void OnHead();
  void OnBody(std::string_view aBytes);
  void OnMessageEnd();
  void OnFront(ServerExchange& aExchange);
  void OnParseError(boost::beast::error_code aCode);
  void OnEnd();
  void FlushResponses();
  void Linger();
  void DropExchanges();
  void ReleaseSink(ServerExchange& aExchange);

  HttpListener& mListener;
  std::shared_ptr<Channel> mChannel;
  std::unique_ptr<RequestParser> mParser;
  /// Received bytes that the parser cannot consume yet.
  std::string mInput;
  /// Requests whose responses are not completely written, oldest first.
  std::deque<ServerExchangePtr> mExchanges;
  /// The request whose body is arriving.
  ServerExchangePtr mReading;
  /// Requests since the caller last waited for a response before it sent one.
  std::size_t mAhead = 0;
  /// Requests sent ahead that may begin before the next turn of the connection.
  std::size_t mTurn = 0;
  /// Time before which no request begins.
  core::TimePoint mHeldUntil;
  bool mHeld = false;
  /// Requests in flight behind the first, as reported to the listener.
  std::size_t mPipelined = 0;
  /// Bytes of the body that is arriving that came after its response.
  std::size_t mDrainedBytes = 0;
  /// Time at which the connection became idle, the head that is arriving began,
  /// or lingering began.
  core::TimePoint mSince;
  /// Time of the last progress of the caller, and its bytes since then.
  core::TimePoint mProgressAt;
  std::size_t mProgressBytes = 0;
  /// Unsent bytes when they were last counted.
  std::size_t mUnsentBefore = 0;
  std::size_t mHeldBytes = 0;
  bool mHeadStarted = false;
  bool mNoMoreRequests = false;
  bool mLingering = false;
  bool mFlushing = false;
  bool mClosed = false;
};

} // namespace nutmegrock::proxy
