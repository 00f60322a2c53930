#pragma once

#include "core/Address.h"
#include "core/Time.h"
#include "experiment/DeploymentSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// How a client sends its requests and reacts to those not completed.
struct ClientBehaviour
{
  /// Maximum number of immediate resends, with the same request identity and
  /// key; zero disables them.
  unsigned mResends = 0;
  /// Share of the requests that are sent to a second node at the same time,
  /// with the same identity and key.
  double mDuplicateShare = 0.0;
  /// Time limit for one response.
  core::Duration mTimeout{ std::chrono::seconds(10) };

  bool operator==(const ClientBehaviour&) const = default;
};

struct LoadSettings
{
  DeploymentSpec mSpec;
  /// Caller listener addresses; each request goes to a random one.
  std::vector<core::Address> mEntryNodes;
  std::uint64_t mSeed = 1;
  ClientBehaviour mClient;
  /// Prefix of all operation IDs.
  std::string mPrefix;
  std::size_t mThreads = 2;
  /// Sends to backend servers instead of nodes: target "/<path>", no keys.
  bool mDirect = false;
};

} // namespace nutmegrock::experiment
