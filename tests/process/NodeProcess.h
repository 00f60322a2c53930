#pragma once

#include "core/Address.h"

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>

namespace nutmegrock::tests {

/// The built program, running `gateway` with settings on loopback addresses
/// that no other test process uses. Killed on destruction.
class NodeProcess
{
public:
  NodeProcess();
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess();

  void Start();
  void Signal(int aSignal) const;
  /// Waits for the end; returns the exit code, minus the number of the signal
  /// that ended the process, or nullopt if it still runs.
  std::optional<int> WaitForEnd(std::chrono::milliseconds aTime);
  /// Returns true if the readiness address answers within the time.
  bool Answers(std::chrono::milliseconds aTime) const;

  /// Settings with which the node starts.
  std::string SettingsText() const;
  std::string SettingsPath() const { return mFolder + "/node.yaml"; }
  void WriteSettings(const std::string& aText) const;
  /// What the node has logged so far.
  std::string Log() const;
  bool WaitForLog(const std::string& aText,
                  std::chrono::milliseconds aTime) const;

  core::Address Caller() const { return { mIp, 20004 }; }
  core::Address Peer() const { return { mIp, 20020 }; }
  core::Address Ready() const { return { mIp, 20002 }; }
  core::Address Metrics() const { return { mIp, 20030 }; }

private:
  std::string mIp;
  std::string mFolder;
  pid_t mPid = 0;
};

} // namespace nutmegrock::tests
