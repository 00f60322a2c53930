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
  /// HTTP for the calls and notices of the local backend server.
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

/// Disables overload control for comparisons.
struct OverloadSettings
{
  bool mEnabled = true;
  /// Retries of each hop while overload control is disabled.
  std::uint32_t mUnboundedRetries = 0;

  bool operator==(const OverloadSettings&) const = default;
};

/// Start-up settings of a node.
struct NodeSettings
{
  std::string mService;
  std::string mRegion;
  std::string mAvailabilityZone;
  core::Address mBackendServer;
  /// Number of calls that the backend server runs concurrently.
  std::uint32_t mSlots = 0;
  /// Number of connections that the backend server accepts.
  std::uint32_t mConnections = 0;
  /// I/O threads. One handles several thousand calls/s; at 1,000 calls/s a
  /// second one costs more in hand-overs than it gains.
  std::uint32_t mThreads = 1;
  ListenSettings mListen;
  PlatformSettings mPlatform;
  /// Peer addresses of other nodes, used in addition to the table service.
  std::vector<core::Address> mSeeds;
  /// File with the secret shared by all nodes; empty for none.
  std::string mSecretFile;
  std::string mLogLevel = "info";
  OverloadSettings mOverload;

  bool operator==(const NodeSettings&) const = default;
};

} // namespace nutmegrock::settings
