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

/// One request at a listener and the way for its answer. Answers of a
/// connection leave in the order of its requests; an answer that is ready early
/// waits here.
class ServerExchange
{
public:
  ServerExchange(std::weak_ptr<ServerConnection> aConnection,
                 RequestHead aHead);

  const RequestHead& Head() const { return mHead; }
  /// Name of the header with a request's identity.
  const std::string& RequestIdName() const { return mRequestIdName; }

  /// Begins the answer. aExtraLines are further header lines. A body of
  /// unknown length leaves in chunks.
  void SendHead(const ResponseHead& aHead, std::string_view aExtraLines);
  void SendBody(std::string_view aBytes);
  /// Ends a complete answer.
  void End();
  /// Ends an answer that cannot be completed by closing the connection.
  void Abort();
  /// A whole answer of this node itself.
  void SendResponse(unsigned aStatus,
                    std::string_view aExtraLines,
                    std::string_view aBody);
  /// Stops or resumes reading the request's body.
  void PauseBody(bool aPaused);
  /// Bytes of the answer that wait to be sent.
  std::size_t Unsent() const;

  bool HasResponse() const { return mHeadSent; }
  bool IsEnded() const { return mEnded; }

private:
  friend class ServerConnection;

  void Put(std::string_view aBytes);

  std::weak_ptr<ServerConnection> mConnection;
  RequestHead mHead;
  std::string mRequestIdName;
  std::shared_ptr<RequestSink> mSink;
  /// Bytes that wait for the answers of earlier requests.
  std::string mBuffered;
  bool mFront = false;
  bool mChunked = false;
  bool mNoBody = false;
  bool mHeadSent = false;
  bool mEnded = false;
  bool mBroken = false;
  bool mClose = false;
  bool mBodyEnded = false;
  bool mBodyPaused = false;
};

using ServerExchangePtr = std::shared_ptr<ServerExchange>;

/// Takes a request. The sink receives its body; null answers nothing further
/// than what was sent on the exchange already.
using RequestHandler =
  std::function<std::shared_ptr<RequestSink>(const ServerExchangePtr&)>;

} // namespace nutmegrock::proxy
