#pragma once

#include "core/Address.h"
#include "core/Time.h"
#include "experiment/DeploymentSpec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// What a client does when a request is not completed.
struct ClientBehaviour
{
  /// Sends after the first one, at once, with the same request identity and
  /// key; zero is a patient client.
  unsigned mResends = 0;
  /// Share of the requests that are also sent to a second node at the same
  /// time, with the same identity and key.
  double mCopies = 0.0;
  /// How long a client waits for one answer.
  core::Duration mTimeout{ std::chrono::seconds(10) };

  bool operator==(const ClientBehaviour&) const = default;
};

struct LoadSettings
{
  DeploymentSpec mSpec;
  /// Caller listeners; each request goes to a random one.
  std::vector<core::Address> mEntries;
  std::uint64_t mSeed = 1;
  ClientBehaviour mClient;
  /// Start of all operation names of this load.
  std::string mPrefix;
  std::size_t mThreads = 2;
  /// Sends to backend servers instead of nodes: "/<path>", and no keys.
  bool mDirect = false;
};

} // namespace nutmegrock::experiment
