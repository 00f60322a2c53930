#pragma once

#include "core/Time.h"
#include "proxy/Channel.h"
#include "proxy/MessageParser.h"
#include "proxy/Streams.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace nutmegrock::proxy {

class ClientPool;

/// A request to send on a client connection.
struct ClientRequest
{
  /// Request line and headers, including the empty line at the end.
  std::string mHead;
  /// Request id that the response echoes. A response with another id belongs to
  /// an earlier request and is dropped. One without an id is taken only on a
  /// connection that has served no other request.
  std::string mRequestId;
  BodyFraming mFraming = BodyFraming::None;
  /// The response to a HEAD request has no body.
  bool mIsHead = false;
  /// Bytes of the body that are already available, and true if they are the
  /// whole body.
  std::string mBody;
  bool mBodyComplete = true;
};

/// One connection to a backend server or another node, which serves one request
/// at a time. Used on one thread.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(ClientPool& aPool, std::string aKey);

  void Connect(const boost::asio::ip::tcp::endpoint& aEndpoint);
  /// Starts a request on a connection that is connecting or idle.
  void Start(ClientRequest aRequest, std::weak_ptr<ResponseSink> aSink);
  void SendBody(std::string_view aBytes);
  void EndBody();
  std::size_t Unsent() const { return mChannel->Unsent(); }
  void PauseResponse(bool aPaused);
  /// Closes the connection; the sink is not called again.
  void Abandon();

  const std::string& Key() const { return mKey; }
  /// Sequence number of the current request on this connection.
  std::uint64_t RequestNumber() const { return mRequestNumber; }
  bool IsConnecting() const { return mConnecting; }
  bool IsClosed() const { return mClosed; }
  /// True while a request is in flight.
  bool IsBusy() const { return mBusy; }
  /// Time at which it started to connect or became idle.
  core::TimePoint Since() const { return mSince; }
  /// Returns true if it has been idle for so long that the other side may close
  /// it.
  bool IsStale(core::TimePoint aNow) const;
  void FailConnecting();

private:
  void OnConnected(bool aSuccess);
  void OnBytes(std::string_view aBytes);
  void OnBytesAfterResponse();
  /// Counts bytes of interim responses and of responses to earlier requests.
  /// Fails the request and returns false when there are too many.
  bool CountDropped(std::size_t aBytes);
  void MakeParser();
  void OnHead();
  void OnBody(std::string_view aBytes);
  void OnMessageEnd();
  void OnEnd(bool aClean);
  void Fail(core::ErrorKind aKind, const std::string& aMessage);
  void MaybeFinish();
  void Close();

  ClientPool& mPool;
  const std::string mKey;
  std::shared_ptr<Channel> mChannel;
  std::unique_ptr<ResponseParser> mParser;
  std::string mInput;
  std::weak_ptr<ResponseSink> mSink;
  std::string mRequestId;
  BodyFraming mFraming = BodyFraming::None;
  core::Duration mMaxIdleTime;
  core::TimePoint mSince;
  std::uint64_t mRequestNumber = 0;
  /// Bytes of other responses that arrived before that of the current request.
  std::size_t mDroppedBytes = 0;
  bool mConnecting = false;
  bool mBusy = false;
  bool mIsHead = false;
  bool mBodyEnded = true;
  /// The response is complete.
  bool mResponded = false;
  /// The response that is arriving belongs to an earlier request.
  bool mUnexpected = false;
  bool mKeepAlive = true;
  bool mClosed = false;
};

} // namespace nutmegrock::proxy
