#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"

#include <string>

namespace nutmegrock::transport::peer {

/// Settings of a PeerClient.
struct PeerClientSettings
{
  /// Incarnation of this node.
  core::Incarnation mIncarnation;
  /// Maximum time to connect and exchange Hello.
  core::Duration mConnectTimeout = std::chrono::seconds(1);
  /// Time after which a connection without calls is closed. Shorter than the
  /// server's idle timeout, so that the client closes first and no call is sent
  /// on a connection that the server is closing.
  core::Duration mIdleTimeout = std::chrono::seconds(30);
  /// Backoff after a failed connection attempt, doubled with each further
  /// failure up to the maximum. Calls during the backoff fail at once.
  core::Duration mMinBackoff = std::chrono::milliseconds(20);
  core::Duration mMaxBackoff = std::chrono::seconds(1);
  /// Shared secret of all nodes; if empty, peers are not authenticated.
  std::string mSecret;
};

} // namespace nutmegrock::transport::peer
