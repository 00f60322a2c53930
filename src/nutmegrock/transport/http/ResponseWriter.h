#pragma once

#include "transport/Call.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace nutmegrock::transport::http {

/// Hooks from a ResponseWriter to its connection, run on the strand.
struct ResponseHooks
{
  /// True if the connection may stay open after this response.
  std::function<bool()> mCanKeepAlive;
  /// Called with true when a write starts, and with false when it completes.
  std::function<void(bool aWriting)> mOnWriting;
  /// Called at the end. After an incomplete response the connection must be
  /// closed, so that the caller detects the truncation. The headers of a
  /// complete response stated whether the connection stays open.
  std::function<void(bool aComplete, bool aKeepAlive)> mOnDone;
};

/// Writes one response, with Content-Length if its size is known and chunked
/// otherwise. Runs on the strand of the socket. Reads the first chunk of the
/// body before it writes the head, so that a body which fails at once becomes
/// an error response. Kept alive by its own pending operations.
class ResponseWriter : public std::enable_shared_from_this<ResponseWriter>
{
public:
  ResponseWriter(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
                 bool aIsHead,
                 ResponseHooks aHooks);

  void Start(core::Expected<Response> aResponse);
  /// Stops writing; no hook runs afterwards.
  void Abort();

private:
  using Code = boost::system::error_code;
  using Message = boost::beast::http::response<boost::beast::http::buffer_body>;
  using Serializer =
    boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  void Pull();
  void OnChunk(core::Expected<BodyChunk> aChunk);
  void PrepareHead();
  bool IsSizeValid() const;
  void Write();
  void OnWritten(Code aCode);
  void Finish(bool aComplete);

  const std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  const bool mIsHead;
  ResponseHooks mHooks;
  Response mResponse;
  Message mMessage;
  std::optional<Serializer> mSerializer;
  /// The chunk being written.
  BodyChunk mChunk;
  /// Bytes of the body up to and including mChunk.
  std::uint64_t mBytes = 0;
  bool mHasBody = true;
  bool mPulling = false;
  bool mEnded = false;
};

} // namespace nutmegrock::transport::http
