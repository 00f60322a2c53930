#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"

#include <string>

namespace nutmegrock::transport::peer {

/// Settings of a PeerClient.
struct PeerClientSettings
{
  /// This node's own run.
  core::Incarnation mIncarnation;
  /// Longest time to connect and exchange Hello.
  core::Duration mConnectTimeout = std::chrono::seconds(1);
  /// A connection without calls is closed after this time. It is below the
  /// server's idle time, so that the client closes first and no call meets a
  /// connection that is just being closed.
  core::Duration mIdleTime = std::chrono::seconds(30);
  /// Pause after a failed connection attempt, doubled with each further
  /// failure up to the maximum. Calls in the pause fail at once.
  core::Duration mMinBackoff = std::chrono::milliseconds(20);
  core::Duration mMaxBackoff = std::chrono::seconds(1);
  /// Shared secret of all nodes; empty: peers are not authenticated.
  std::string mSecret;
};

} // namespace nutmegrock::transport::peer
