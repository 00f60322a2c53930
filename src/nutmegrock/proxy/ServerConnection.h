#pragma once

#include "core/Time.h"
#include "proxy/Channel.h"
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

/// One connection of a caller. Reads further requests while earlier ones are
/// under way and returns the answers in order. Used on one thread.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  /// The listener must outlive the connection.
  explicit ServerConnection(HttpListener& aListener);

  void Start(Channel::Socket aSocket);
  void Close();

  /// Bytes of answers for the channel.
  void WriteOut(std::string_view aBytes);
  std::size_t Unsent() const;
  /// Whether the next answer is to announce the end of the connection.
  bool ClosesSoon() const;
  void OnExchangeEnded();
  /// Recomputes whether the channel is read.
  void UpdatePause();
  /// Applies the limits on time.
  void Tick(core::TimePoint aNow);
  bool IsIdle() const { return mExchanges.empty() && !mReading; }

private:
  void OnBytes(std::string_view aBytes);
  std::string_view ParseSome(std::string_view aBytes);
  void OnHead();
  void OnBody(std::string_view aBytes);
  void OnMessageEnd();
  void OnParseError(boost::beast::error_code aCode);
  void OnEnd();
  void PumpResponses();
  void Linger();
  void DropAll();
  void ReleaseSink(ServerExchange& aExchange);

  HttpListener& mListener;
  std::shared_ptr<Channel> mChannel;
  std::unique_ptr<RequestParser> mParser;
  /// Bytes that the parser needs more of.
  std::string mInput;
  /// Requests whose answers have not left, oldest first.
  std::deque<ServerExchangePtr> mExchanges;
  /// The request whose body is arriving.
  ServerExchangePtr mReading;
  /// When the connection became idle, or the head that is arriving began.
  core::TimePoint mSince;
  bool mHeadStarted = false;
  bool mNoMoreRequests = false;
  bool mLingering = false;
  bool mPumping = false;
  bool mClosed = false;
};

} // namespace nutmegrock::proxy
