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

/// One connection of another node. Works on the strand of its socket.
class PeerSession : public std::enable_shared_from_this<PeerSession>
{
public:
  PeerSession(boost::asio::ip::tcp::socket aSocket,
              std::shared_ptr<PeerServerState> aServer);

  void Start();
  void Close();

private:
  void WatchTime();
  void OnTimer();
  void OnClosed();

  void OnFrame(gen::PeerFrame& aFrame);
  void OnHello(const gen::Hello& aHello);
  void RespondToHello(const gen::Hello& aHello);
  /// Whether a call id is new on this connection; closes otherwise.
  bool TakeId(std::int64_t aId);
  void OnCall(std::int64_t aId, gen::CallStart& aStart);
  BodyReaderPtr MakeBody(const ServerCallPtr& aCall, gen::CallStart& aStart);
  void OnChunk(std::int64_t aId, gen::BodyChunk& aChunk);
  void OnCredit(std::int64_t aId, const gen::BodyCredit& aCredit);
  void OnCancel(std::int64_t aId);
  void OnControl(std::int64_t aId, gen::ControlRequest& aRequest);

  void OnResult(const ServerCallPtr& aCall, PeerResult aResult);
  void PullFirst(const ServerCallPtr& aCall);
  void SendResponse(const ServerCallPtr& aCall, BodyChunk aFirst);
  void SendChunk(const ServerCallPtr& aCall, core::Expected<BodyChunk> aChunk);
  void SendError(std::int64_t aId,
                 const core::Error& aError,
                 const core::CallFeedback& aFeedback,
                 std::shared_ptr<void> aToken);
  void SendControlResponse(std::int64_t aId,
                           core::Expected<std::string> aResult);
  /// Forgets a call whose last frame was sent.
  void End(const ServerCallPtr& aCall);
  bool IsForUs(std::int64_t aTarget) const;

  const std::shared_ptr<PeerServerState> mServer;
  const std::shared_ptr<FrameConnection> mConnection;
  boost::asio::steady_timer mTimer;
  PeerAuthenticator mAuthenticator;
  core::Incarnation mCaller;
  /// Hello, and the proof if one is required, was received.
  bool mReady = false;
  bool mGreeted = false;
  core::TimePoint mLastUse;
  std::int64_t mLastId = 0;
  std::size_t mControls = 0;
  std::unordered_map<std::int64_t, ServerCallPtr> mCalls;
};

} // namespace nutmegrock::transport::peer
