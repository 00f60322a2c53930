#pragma once

#include "transport/Call.h"
#include "transport/peer/BodyReceiver.h"
#include "transport/peer/BodySender.h"

#include <cstdint>
#include <memory>

namespace nutmegrock::transport::peer {

/// State of a call that a PeerSession serves, used on the session's strand
/// only.
struct ServerCall
{
  std::int64_t mId = 0;
  CancellationPtr mCancellation;
  /// Counts the call as in flight.
  std::shared_ptr<void> mToken;
  std::weak_ptr<BodyReceiver> mReceiver;
  bool mResponded = false;
  Response mResponse;
  core::CallFeedback mFeedback;
  std::shared_ptr<BodySender> mSender;
};

using ServerCallPtr = std::shared_ptr<ServerCall>;

} // namespace nutmegrock::transport::peer
