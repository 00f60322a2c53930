#pragma once

#include "peer_types.h"
#include "transport/Call.h"
#include "transport/peer/BodyReceiver.h"
#include "transport/peer/BodySender.h"
#include "transport/peer/PeerClient.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>

namespace nutmegrock::transport::peer {

/// State of a call or control request of a PeerLink, used on the link's strand
/// only.
struct ClientCall
{
  explicit ClientCall(const boost::asio::any_io_executor& aExecutor)
    : mTimer(aExecutor)
  {
  }

  /// Reports an error to the handler of the call or the reader of its response
  /// body; Unknown once the call's frame was handed to the socket.
  void ReportError(core::Error aError);

  /// Call id on the connection; 0 until the frame was handed to the socket.
  std::int64_t mId = 0;
  /// Time at which the frame was handed to the socket.
  core::TimePoint mSentAt;
  core::TimePoint mDeadline;
  boost::asio::steady_timer mTimer;
  bool mEnded = false;

  std::optional<PeerCall> mCall;
  PeerResultHandler mHandler;
  /// First bytes of the call's body, read before the frame is sent.
  BodyChunk mFirstChunk;
  std::shared_ptr<BodySender> mSender;
  std::weak_ptr<BodyReceiver> mReceiver;
  bool mResponded = false;

  gen::ControlRequest mControl;
  ControlResponseHandler mControlHandler;
};

using ClientCallPtr = std::shared_ptr<ClientCall>;

} // namespace nutmegrock::transport::peer
