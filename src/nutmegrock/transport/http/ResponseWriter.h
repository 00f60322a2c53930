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

/// What an ResponseWriter asks and tells its connection, on the strand.
struct ResponseHooks
{
  /// Whether the connection may stay open after this answer.
  std::function<bool()> mMayKeepAlive;
  /// A part of the answer is being written, or waits for its body.
  std::function<void(bool aWriting)> mWriting;
  /// The end. Unless complete, the connection must be closed so that the
  /// caller sees the answer as broken. A complete answer announced whether the
  /// connection stays open.
  std::function<void(bool aComplete, bool aKeepAlive)> mDone;
};

/// Writes one answer, with Content-Length if its size is known and chunked
/// otherwise. Works on the strand of the socket. Takes the first chunk of the
/// body before it writes the head, so that a body which fails at once becomes
/// an error answer. Kept alive by its own pending operations.
class ResponseWriter : public std::enable_shared_from_this<ResponseWriter>
{
public:
  ResponseWriter(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
                 bool aIsHead,
                 ResponseHooks aHooks);

  void Start(core::Expected<Response> aResponse);
  /// Writes nothing further and calls no hook.
  void Abort();

private:
  using Code = boost::system::error_code;
  using Message = boost::beast::http::response<boost::beast::http::buffer_body>;
  using Serializer =
    boost::beast::http::response_serializer<boost::beast::http::buffer_body>;

  void Pull();
  void OnChunk(core::Expected<BodyChunk> aChunk);
  void PrepareHead();
  bool AcceptSize() const;
  void Write();
  void OnWritten(Code aCode);
  void Finish(bool aComplete);

  const std::shared_ptr<boost::asio::ip::tcp::socket> mSocket;
  const bool mIsHead;
  ResponseHooks mHooks;
  Response mResponse;
  Message mMessage;
  std::optional<Serializer> mSerializer;
  /// Being written.
  BodyChunk mChunk;
  /// Bytes of the body up to and with mChunk.
  std::uint64_t mBytes = 0;
  bool mHasBody = true;
  bool mPulling = false;
  bool mEnded = false;
};

} // namespace nutmegrock::transport::http
