#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace nutmegrock::settings {

/// Addresses of a node that serves published routes.
struct GatewayListenSettings
{
  /// HTTP for callers and for the calls of the local backend server.
  core::Address mCaller;
  /// HTTP for requests of other nodes. The port is the same on all nodes.
  core::Address mNodes;
  /// TCP and UDP for the control traffic of other nodes.
  core::Address mPeer;
  /// HTTP for heartbeats of the local backend server.
  core::Address mNotices;
  /// HTTP for the readiness check.
  core::Address mReady;
  /// HTTP for metrics and status.
  core::Address mMetrics;

  bool operator==(const GatewayListenSettings&) const = default;
};

/// Limits that apply to each node or to all nodes together.
struct GatewayBounds
{
  /// Time after which a backend server that has announced to leave gets no new
  /// calls.
  core::Duration mDrain = std::chrono::milliseconds{ 2'000 };
  /// Maximum time between the stop signal and the end of the process.
  core::Duration mStop = std::chrono::seconds{ 6 };
  /// Limit of the retries of all nodes together for one service in a window:
  /// this share of the requests for it, plus this number.
  double mRetryRatio = 0.2;
  double mRetryExtra = 49;
  core::Duration mRetryWindow = std::chrono::seconds{ 10 };

  bool operator==(const GatewayBounds&) const = default;
};

/// Start-up settings of a node that serves published routes.
struct GatewaySettings
{
  std::string mService;
  std::string mRegion;
  std::string mAvailabilityZone;
  core::Address mBackendServer;
  GatewayListenSettings mListen;
  /// "http://IP:PORT" of the platform's store.
  std::string mStore;
  GatewayBounds mBounds;
  /// Memory of the machine in MB; 0 for that of the smallest one.
  std::size_t mMemoryMb = 0;
  /// Peer addresses of other nodes, used in addition to the store.
  std::vector<core::Address> mSeeds;
  std::string mLogLevel = "info";

  bool operator==(const GatewaySettings&) const = default;
};

/// Parses settings from YAML; messages contain aName. Fails with
/// InvalidSettings and one line per error.
core::Expected<GatewaySettings>
ParseGatewaySettings(const std::string& aYaml, const std::string& aName);

/// Keys with different values that a running node cannot change: its identity
/// and its addresses.
std::vector<std::string>
KeysThatNeedRestart(const GatewaySettings& aRunning,
                    const GatewaySettings& aLoaded);

/// Reads a settings file. Fails with InvalidSettings.
core::Expected<GatewaySettings>
LoadGatewaySettings(const std::string& aPath);

} // namespace nutmegrock::settings
