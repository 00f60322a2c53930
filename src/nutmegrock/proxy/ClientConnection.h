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

/// What a client connection is asked to send.
struct ClientRequest
{
  /// Line and headers with their empty line at the end.
  std::string mHead;
  /// Identity that the answer repeats. An answer with another one belongs to an
  /// earlier request and is dropped.
  std::string mRequestId;
  BodyFraming mFraming = BodyFraming::None;
  /// The answer to a HEAD request has no body.
  bool mIsHead = false;
  /// Bytes of the body that are at hand, and whether they are all.
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
  /// Ends the connection; the sink is not called again.
  void Abandon();

  const std::string& Key() const { return mKey; }
  /// Number of the present request of this connection.
  std::uint64_t RequestNumber() const { return mRequestNumber; }
  bool IsConnecting() const { return mConnecting; }
  bool IsClosed() const { return mClosed; }
  /// Whether a request is under way.
  bool IsBusy() const { return mBusy; }
  /// When it began to connect or became idle.
  core::TimePoint Since() const { return mSince; }
  /// Whether it has been idle for so long that the other side may close it.
  bool IsStale(core::TimePoint aNow) const;
  void FailConnecting();

private:
  void OnConnected(bool aSuccess);
  void OnBytes(std::string_view aBytes);
  void NewParser();
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
  core::Duration mIdleLimit;
  core::TimePoint mSince;
  std::uint64_t mRequestNumber = 0;
  bool mConnecting = false;
  bool mBusy = false;
  bool mIsHead = false;
  bool mBodyEnded = true;
  /// The answer is whole.
  bool mResponded = false;
  /// The answer that arrives belongs to an earlier request.
  bool mForeign = false;
  bool mKeepAlive = true;
  bool mClosed = false;
};

} // namespace nutmegrock::proxy
