#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "core/Time.h"

#include <cstddef>
#include <string>

namespace nutmegrock::transport::peer {

/// Settings of a PeerServer.
struct PeerServerSettings
{
  /// Port 0 lets the system choose one.
  core::Address mAddress;
  /// This node's own run.
  core::Incarnation mIncarnation;
  /// One connection per calling node; the full size has 3,800 nodes.
  std::size_t mMaxConnections = 8192;
  /// Longest time from accepting a connection to the caller's Hello.
  core::Duration mHelloTimeout = std::chrono::seconds(5);
  /// A connection without calls is closed after this time.
  core::Duration mIdleTime = std::chrono::seconds(120);
  /// Shared secret of all nodes; empty: peers are not authenticated.
  std::string mSecret;
};

} // namespace nutmegrock::transport::peer
