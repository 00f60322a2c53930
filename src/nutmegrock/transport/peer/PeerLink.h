#pragma once

#include "transport/peer/ClientCall.h"
#include "transport/peer/FrameConnection.h"
#include "transport/peer/PeerClientSettings.h"
#include "transport/peer/PeerConnector.h"
#include "transport/peer/PeerCounts.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace nutmegrock::transport::peer {

/// All calls of this node to one address, over one connection at a time. Runs
/// on one strand.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  PeerLink(boost::asio::io_context& aIo,
           const PeerClientSettings& aSettings,
           boost::asio::ip::tcp::endpoint aEndpoint,
           std::shared_ptr<PeerCounts> aCounts);

  void Send(PeerCall aCall, PeerResultHandler aHandler);
  void Control(core::Incarnation aTarget,
               std::string aMethod,
               std::string aArgument,
               core::TimePoint aDeadline,
               ControlResponseHandler aHandler);
  void Close();

private:
  void StartCall(const ClientCallPtr& aCall);
  void WatchCancellation(const ClientCallPtr& aCall);
  void PullFirstChunk(const ClientCallPtr& aCall);
  /// Sends the call, queues it until the connection is ready, or fails it.
  void Submit(const ClientCallPtr& aCall);
  void WriteStart(const ClientCallPtr& aCall);
  void MakeSender(const ClientCallPtr& aCall);
  void OnDeadline(const ClientCallPtr& aCall);
  /// Returns true if the connection seems to have gone silent: the peer answers
  /// control requests at once, but nothing has arrived since this one was sent.
  /// False while other calls are in flight, which closing would end.
  bool IsSilent(const ClientCallPtr& aControl) const;
  void SendCancel(const ClientCallPtr& aCall);

  void Connect();
  void OnConnected(core::Expected<std::shared_ptr<FrameConnection>> aResult);
  void OnClosed(const std::string& aReason);
  void StartIdleTimer();

  void OnFrame(gen::PeerFrame aFrame);
  void OnResponse(const ClientCallPtr& aCall, gen::AnswerStart& aResponse);
  BodyReaderPtr MakeBody(const ClientCallPtr& aCall,
                         gen::AnswerStart& aResponse);
  void OnChunk(const ClientCallPtr& aCall, gen::BodyChunk& aChunk);
  void OnControlResponse(const ClientCallPtr& aCall,
                         const gen::ControlAnswer& aResponse);

  /// Ends a call with an error; Unknown once its frame was handed to the
  /// socket.
  void Fail(const ClientCallPtr& aCall, core::Error aError);
  void End(const ClientCallPtr& aCall);
  void FailPending(const core::Error& aError);
  bool IsReady() const { return mConnection && mConnection->IsOpen(); }

  const PeerClientSettings mSettings;
  const boost::asio::ip::tcp::endpoint mEndpoint;
  const std::shared_ptr<PeerCounts> mCounts;
  boost::asio::strand<boost::asio::io_context::executor_type> mStrand;
  boost::asio::steady_timer mIdleTimer;
  std::shared_ptr<PeerConnector> mConnector;
  std::shared_ptr<FrameConnection> mConnection;
  bool mClosed = false;
  core::Duration mBackoff{ 0 };
  core::TimePoint mNextAttempt;
  core::TimePoint mLastUse;
  core::TimePoint mLastFrameAt;
  std::int64_t mLastId = 0;
  std::unordered_map<std::int64_t, ClientCallPtr> mCalls;
  std::deque<ClientCallPtr> mPending;
};

} // namespace nutmegrock::transport::peer
