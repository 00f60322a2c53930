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
  /// Port 0 lets the system choose a port.
  core::Address mAddress;
  /// Incarnation of this node.
  core::Incarnation mIncarnation;
  /// One connection per calling node; a full-size deployment has 3,800 nodes.
  std::size_t mMaxConnections = 8192;
  /// Maximum time from accepting a connection to the caller's Hello.
  core::Duration mHelloTimeout = std::chrono::seconds(5);
  /// Time after which a connection without calls is closed.
  core::Duration mIdleTimeout = std::chrono::seconds(120);
  /// Shared secret of all nodes; if empty, peers are not authenticated.
  std::string mSecret;
};

} // namespace nutmegrock::transport::peer
