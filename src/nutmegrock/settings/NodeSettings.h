#pragma once

#include "core/Address.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace nutmegrock::settings {

/// Addresses a node listens on.
struct ListenSettings
{
  /// HTTP for external callers.
  core::Address mCaller;
  /// HTTP for the calls and notices of the backend server beside the node.
  core::Address mBackend;
  /// TCP and UDP for other nodes.
  core::Address mPeer;
  /// HTTP for operators.
  core::Address mAdmin;

  bool operator==(const ListenSettings&) const = default;
};

/// Base URLs of the platform.
struct PlatformSettings
{
  std::string mTableService;
  std::string mObjectStore;

  bool operator==(const PlatformSettings&) const = default;
};

/// Switches overload control off for comparisons.
struct OverloadSettings
{
  bool mEnabled = true;
  /// Further attempts of each hop while overload control is off.
  std::uint32_t mUnboundedRetries = 0;

  bool operator==(const OverloadSettings&) const = default;
};

/// Everything a node is told when it starts.
struct NodeSettings
{
  std::string mService;
  std::string mRegion;
  std::string mAvailabilityZone;
  core::Address mBackendServer;
  /// Calls the backend server runs at once.
  std::uint32_t mSlots = 0;
  /// Connections the backend server accepts.
  std::uint32_t mConnections = 0;
  /// Threads for sockets. One serves several thousand calls/s; a second one
  /// cost more in hand-overs than it brought at 1,000 calls/s.
  std::uint32_t mThreads = 1;
  ListenSettings mListen;
  PlatformSettings mPlatform;
  /// Peer addresses of other nodes, used beside the table service.
  std::vector<core::Address> mSeeds;
  /// File with the secret shared by all nodes; empty for none.
  std::string mSecretFile;
  std::string mLogLevel = "info";
  OverloadSettings mOverload;

  bool operator==(const NodeSettings&) const = default;
};

} // namespace nutmegrock::settings
