#pragma once

#include "proxy/MessageHead.h"
#include "proxy/Streams.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::proxy {

class ServerConnection;

/// One request received by a listener, and its response. Responses on a
/// connection are sent in the order of the requests; a response that is ready
/// early is buffered here.
class ServerExchange
{
public:
  ServerExchange(std::weak_ptr<ServerConnection> aConnection,
                 RequestHead aHead);

  const RequestHead& Head() const { return mHead; }
  /// Requests before it on its connection that were in progress on arrival.
  std::size_t InFlightBefore() const { return mInFlightBefore; }
  /// Drops the key of a tenant, so that it is not forwarded.
  void DropKey() { mHead.mKeyLines.clear(); }
  /// Name of the header with the request id.
  const std::string& RequestIdName() const { return mRequestIdName; }

  /// Begins the response. aExtraLines are further header lines. A body of
  /// unknown length is sent chunked, or ends with the connection if the caller
  /// does not know chunks.
  void SendHead(const ResponseHead& aHead, std::string_view aExtraLines);
  void SendBody(std::string_view aBytes);
  /// Completes the response.
  void End();
  /// Aborts a response that cannot be completed, by closing the connection.
  void Abort();
  /// Sends a complete response that this node generated itself.
  void SendResponse(unsigned aStatus,
                    std::string_view aExtraLines,
                    std::string_view aBody);
  /// Passes on bytes of the request's body. Reading pauses until PauseBody() is
  /// called if too many of them wait to be sent; once the response is complete,
  /// the outgoing request is cancelled instead.
  void PassBody(OutgoingRequest& aOutgoing, std::string_view aBytes);
  /// Pauses or resumes reading the request's body. A pause ends with the
  /// response.
  void PauseBody(bool aPaused);
  /// Bytes of the response that wait to be sent.
  std::size_t Unsent() const;

  /// The caller has sent several requests before it without waiting for their
  /// responses.
  bool IsAhead() const { return mIsAhead; }
  bool HasResponse() const { return mHeadSent; }
  bool IsEnded() const { return mEnded; }

private:
  friend class ServerConnection;

  void Write(std::string_view aBytes);
  bool IsBodyPaused() const { return mBodyPaused && !mEnded; }

  std::weak_ptr<ServerConnection> mConnection;
  RequestHead mHead;
  std::string mRequestIdName;
  std::shared_ptr<RequestSink> mSink;
  /// Bytes that wait until the responses to earlier requests are sent.
  std::string mBuffered;
  std::size_t mInFlightBefore = 0;
  bool mIsFront = false;
  bool mIsAhead = false;
  bool mChunked = false;
  /// The body ends with the connection, which is reset if it ends before.
  bool mUntilClose = false;
  bool mNoBody = false;
  bool mHeadSent = false;
  bool mEnded = false;
  bool mBroken = false;
  bool mClose = false;
  bool mBodyEnded = false;
  bool mBodyPaused = false;
  /// The caller waits for an interim response before it sends the body.
  bool mContinueDue = false;
};

using ServerExchangePtr = std::shared_ptr<ServerExchange>;

/// Handles a request. The returned sink receives its body; null if the body is
/// not needed.
using RequestHandler =
  std::function<std::shared_ptr<RequestSink>(const ServerExchangePtr&)>;

} // namespace nutmegrock::proxy
