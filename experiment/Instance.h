#pragma once

#include "core/Address.h"
#include "experiment/ChildProcess.h"

#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// A backend server and its node.
struct Instance
{
  std::string mName;
  std::string mService;
  std::string mZone;
  core::Address mServerAddress;
  core::Address mCaller;
  core::Address mBackend;
  core::Address mPeer;
  core::Address mAdmin;
  std::vector<std::string> mNodeCommand;
  std::vector<std::string> mServerCommand;
  std::optional<ChildProcess> mNode;
  std::optional<ChildProcess> mServer;
};

} // namespace nutmegrock::experiment
