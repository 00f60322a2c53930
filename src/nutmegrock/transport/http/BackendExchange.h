#pragma once

#include "transport/Call.h"
#include "transport/http/BackendRequest.h"
#include "transport/http/ConnectionPool.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <memory>
#include <optional>
#include <string>

namespace nutmegrock::transport::http {

/// One call to the backend server, from its first body chunk to the end of the
/// response body. Reads the response while the call's body is still being
/// written, since a backend server may respond early. Runs on its own strand.
class BackendExchange : public std::enable_shared_from_this<BackendExchange>
{
public:
  BackendExchange(std::shared_ptr<ConnectionPool> aPool,
                  Call aCall,
                  core::TimePoint aDeadline,
                  ResponseHandler aHandler);

  void Start();
  /// Reads the next chunk of the response body.
  void NextChunk(ChunkHandler aHandler);
  /// Aborts the exchange because the rest of the response is not needed.
  void Abandon();

private:
  using Code = boost::system::error_code;
  using Serializer =
    boost::beast::http::request_serializer<boost::beast::http::buffer_body>;
  using Parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void WatchCancellation();
  void SetTimer(core::TimePoint aTime);
  void OnTimer();

  void PullBody();
  void OnBodyChunk(core::Expected<BodyChunk> aChunk);
  void Acquire();
  void OnAcquired(std::unique_ptr<PooledConnection> aConnection);
  void Connect();
  void OnConnected(Code aCode);
  void StartRequest();
  void WriteChunk();
  void OnWritten(Code aCode);

  void ReadHead();
  void OnHead(Code aCode);
  ResponseHead TakeHead();
  void ReadBody();
  void OnBody(Code aCode, std::size_t aBytes);

  /// Ends the exchange with an error, whose certainty becomes Unknown once
  /// bytes of the call were handed to the connection.
  void Fail(core::Error aError);
  void Finish(bool aReusable);
  void ReportError();
  void CloseSocket();
  /// Returns the connection to the pool once no operation uses it.
  void Release();

  const std::shared_ptr<ConnectionPool> mPool;
  boost::asio::strand<boost::asio::io_context::executor_type> mStrand;
  boost::asio::steady_timer mTimer;
  Call mCall;
  const core::TimePoint mDeadline;
  ResponseHandler mHandler;
  std::unique_ptr<PooledConnection> mConnection;

  BackendRequest mRequest;
  std::optional<Serializer> mSerializer;
  /// The chunk being written.
  BodyChunk mChunk;
  /// Bytes of the call's body up to and including mChunk.
  std::uint64_t mBytes = 0;
  std::optional<Parser> mParser;
  ChunkHandler mChunkHandler;
  std::string mReadBuffer;
  std::optional<core::Error> mError;

  bool mConnecting = false;
  bool mWriting = false;
  bool mReading = false;
  bool mPulling = false;
  /// Bytes of the call were handed to the connection.
  bool mSent = false;
  /// The call was written completely.
  bool mWritten = false;
  bool mEnded = false;
  bool mReusable = false;
};

} // namespace nutmegrock::transport::http
