#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"

#include <string>
#include <vector>

namespace nutmegrock::settings {

/// Addresses of a node that serves published routes.
struct GatewayListenSettings
{
  /// HTTP for callers and for the calls of the backend server beside the node.
  core::Address mCaller;
  /// HTTP for requests of other nodes. The port is the same on all nodes.
  core::Address mNodes;
  /// TCP and UDP for the control traffic of other nodes.
  core::Address mPeer;
  /// HTTP for heartbeats of the backend server beside the node.
  core::Address mNotices;
  /// HTTP for the readiness check.
  core::Address mReady;
  /// HTTP for metrics and status.
  core::Address mMetrics;

  bool operator==(const GatewayListenSettings&) const = default;
};

/// Bounds that hold for all nodes together or for each.
struct GatewayBounds
{
  /// A backend server that has said it leaves gets no new work after this time.
  core::Duration mDrain = std::chrono::milliseconds{ 2'000 };
  /// Between the signal to stop and the end of the process.
  core::Duration mStop = std::chrono::seconds{ 6 };
  /// Further attempts of all nodes together for one service in a window: this
  /// share of the requests for it, and so many more.
  double mRetryRatio = 0.2;
  double mRetryExtra = 49;
  core::Duration mRetryWindow = std::chrono::seconds{ 10 };

  bool operator==(const GatewayBounds&) const = default;
};

/// Everything a node that serves published routes is told when it starts.
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
  /// Peer addresses of other nodes, used beside the store.
  std::vector<core::Address> mSeeds;
  std::string mLogLevel = "info";

  bool operator==(const GatewaySettings&) const = default;
};

/// Reads settings from YAML text; aName stands in messages. Fails with
/// InvalidSettings and one line for each fault.
core::Expected<GatewaySettings>
ParseGatewaySettings(const std::string& aYaml, const std::string& aName);

/// Reads a settings file. Fails with InvalidSettings.
core::Expected<GatewaySettings>
LoadGatewaySettings(const std::string& aPath);

} // namespace nutmegrock::settings
