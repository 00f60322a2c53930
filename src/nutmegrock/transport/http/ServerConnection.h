#pragma once

#include "transport/Call.h"
#include "transport/http/LimitTimer.h"
#include "transport/http/RequestHead.h"
#include "transport/http/ServerExchange.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>

namespace nutmegrock::transport::http {

class ListenerState;

/// One keep-alive connection of a caller; serves one call at a time. All work
/// runs on the strand of its socket.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(boost::asio::ip::tcp::socket aSocket,
                   std::shared_ptr<ListenerState> aListener);

  /// Reads calls, or answers too_many_connections and closes.
  void Start(bool aRefuse);
  /// Closes an idle connection; otherwise the answer in flight is the last.
  void Stop();
  void Close();
  /// Next chunk of the body of a call.
  void NextChunk(std::uint64_t aExchange, ChunkHandler aHandler);

private:
  using Code = boost::system::error_code;
  void ReadHead();
  void OnHead(Code aCode);
  /// Answers an error and closes.
  void Refuse(core::Error aError);
  void Continue();
  void StartCall(CallHead aHead);
  ResponseHandler MakeResponseHandler();

  void StartExchange();
  void ReadBody();
  void OnBody(Code aCode, std::size_t aBytes);
  void OnBodyFailed(Code aCode);
  void EndBody(core::Error aError);
  void GiveChunk();
  void WatchForClose();
  void OnReadable();

  void OnResponse(std::uint64_t aExchange, core::Expected<Response> aResponse);
  bool MayKeepAlive() const;
  /// Whether the rest of the body is read without the handler's help.
  bool BodyIsShort() const;
  void OnResponseWritten(bool aComplete, bool aKeepAlive);
  void EndCall();

  /// Ends sending, then reads and drops what the caller still sends for a
  /// short time, so that a reset does not destroy the answer on its way.
  void Linger();
  void Drain();

  /// Limits the time of a head once its first bytes are there.
  void OnTick();

  boost::asio::ip::tcp::socket mSocket;
  const std::shared_ptr<ListenerState> mListener;
  /// Closes the connection if the present step lasts too long.
  const std::shared_ptr<LimitTimer> mTimer;
  boost::beast::flat_buffer mBuffer;
  std::optional<RequestParser> mParser;
  std::unique_ptr<ServerExchange> mExchange;
  std::uint64_t mLastExchange = 0;
  bool mHeadStarted = false;
  bool mWatching = false;
  bool mKeepAlive = true;
  bool mDraining = false;
  bool mClosed = false;
};

} // namespace nutmegrock::transport::http
