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

/// One keep-alive connection of a caller; serves one call at a time. Runs on
/// the strand of its socket.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(boost::asio::ip::tcp::socket aSocket,
                   std::shared_ptr<ListenerState> aListener);

  /// Serves calls, or responds with too_many_connections and closes if aRefuse
  /// is set.
  void Start(bool aRefuse);
  /// Closes an idle connection; otherwise the response in flight is the last
  /// one.
  void Stop();
  void Close();
  /// Reads the next chunk of the body of a call.
  void NextChunk(std::uint64_t aExchange, ChunkHandler aHandler);

private:
  using Code = boost::system::error_code;
  /// Ends the exchange of a closed connection, then removes the connection from
  /// the listener, so that a connection is counted while its call is.
  void Release();
  void ReadHead();
  void OnHead(Code aCode);
  /// Sends an error response and closes.
  void Refuse(core::Error aError);
  void Continue();
  void StartCall(CallHead aHead);
  ResponseHandler MakeResponseHandler();

  void StartExchange();
  void ReadBody();
  void OnBody(Code aCode, std::size_t aBytes);
  void OnBodyFailed(Code aCode);
  void EndBody(core::Error aError);
  void DeliverChunk();
  void WatchForClose();
  void OnReadable();

  void OnResponse(std::uint64_t aExchange, core::Expected<Response> aResponse);
  bool CanKeepAlive() const;
  /// True if the rest of the body is read even if the handler does not read it.
  bool IsBodyShort() const;
  void OnResponseWritten(bool aComplete, bool aKeepAlive);
  void EndCall();

  /// Shuts down sending, then reads and discards what the caller still sends
  /// for a short time, so that a TCP reset does not destroy the response in
  /// transit.
  void Linger();
  void Drain();

  /// Sets the header timeout once the first bytes of a head have arrived.
  void OnTick();

  boost::asio::ip::tcp::socket mSocket;
  const std::shared_ptr<ListenerState> mListener;
  /// Closes the connection if the current step times out.
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
