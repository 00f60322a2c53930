#pragma once

#include "transport/peer/FrameConnection.h"
#include "transport/peer/PeerAuthenticator.h"
#include "transport/peer/PeerServerState.h"
#include "transport/peer/ServerCall.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace nutmegrock::transport::peer {

/// One connection from another node. Runs on the strand of its socket.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
  PeerSession(boost::asio::ip::tcp::socket aSocket,
              std::shared_ptr<PeerServerState> aServer);

  void Start();
  void Close();

private:
  void StartTimer();
  void OnTimer();
  void OnClosed();

  void OnFrame(gen::PeerFrame& aFrame);
  void OnHello(const gen::Hello& aHello);
  void RespondToHello(const gen::Hello& aHello);
  /// Returns true if a call id is new on this connection; closes the connection
  /// otherwise.
  bool AcceptId(std::int64_t aId);
  void OnCall(std::int64_t aId, gen::CallStart& aStart);
  BodyReaderPtr MakeBody(const ServerCallPtr& aCall, gen::CallStart& aStart);
  void OnChunk(std::int64_t aId, gen::BodyChunk& aChunk);
  void OnCredit(std::int64_t aId, const gen::BodyCredit& aCredit);
  void OnCancel(std::int64_t aId);
  void OnControl(std::int64_t aId, gen::ControlRequest& aRequest);

  void OnResult(const ServerCallPtr& aCall, PeerResult aResult);
  void PullFirstChunk(const ServerCallPtr& aCall);
  void SendResponse(const ServerCallPtr& aCall, BodyChunk aFirst);
  void SendChunk(const ServerCallPtr& aCall, core::Expected<BodyChunk> aChunk);
  void SendError(std::int64_t aId,
                 const core::Error& aError,
                 const core::CallFeedback& aFeedback,
                 std::shared_ptr<void> aToken);
  void SendControlResponse(std::int64_t aId,
                           core::Expected<std::string> aResult);
  /// Removes a call whose last frame was sent, or that was cancelled.
  void End(const ServerCallPtr& aCall);
  bool IsForThisIncarnation(std::int64_t aTarget) const;

  const std::shared_ptr<PeerServerState> mServer;
  const std::shared_ptr<FrameConnection> mConnection;
  boost::asio::steady_timer mTimer;
  PeerAuthenticator mAuthenticator;
  core::Incarnation mCaller;
  /// Hello was received, and a valid proof if one is required.
  bool mReady = false;
  bool mHelloReceived = false;
  core::TimePoint mLastUse;
  std::int64_t mLastId = 0;
  std::size_t mPendingControls = 0;
  std::unordered_map<std::int64_t, ServerCallPtr> mCalls;
};

} // namespace nutmegrock::transport::peer
