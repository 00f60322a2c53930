#pragma once

#include "core/Address.h"

#include <optional>
#include <string>
#include <sys/types.h>

namespace nutmegrock::tests {

/// A machine with a loopback address of its own and the process of its node.
class Machine
{
public:
  /// Settings and log are kept in aFolder. The number tells machines apart.
  Machine(int aNumber, std::string aService, const std::string& aFolder);
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;
  /// Kills the process.
  ~Machine();

  void Start();
  void Signal(int aSignal) const;
  /// How the process has ended since the last call: its exit code or minus the
  /// number of a signal; nullopt if it has not.
  std::optional<int> TakeEnd();
  bool Runs() const { return mPid > 0; }
  /// Returns true if the process blocks or handles SIGHUP.
  bool HoldsSignals() const;

  /// The whole file, or its first bytes.
  void WriteSettings(std::size_t aBytes = std::string::npos) const;
  /// The last lines of the log.
  std::string LogTail() const;

  /// The rest of the line after aName in the status page of the node; empty if
  /// there is none within a time in seconds.
  std::string StatusField(const std::string& aName, double aSeconds) const;

  const std::string& Service() const { return mService; }
  core::Address Address(int aOffset) const;
  core::Address Nodes() const { return Address(0); }
  core::Address BackendServer() const { return Address(1); }
  core::Address Ready() const { return Address(2); }
  core::Address Caller() const { return Address(4); }
  core::Address Notices() const { return Address(6); }
  core::Address Store() const { return Address(9); }
  core::Address Peer() const { return Address(20); }
  core::Address Metrics() const { return Address(30); }

private:
  const std::string mIp;
  const std::string mService;
  const std::string mSettings;
  const std::string mLog;
  pid_t mPid = 0;
};

} // namespace nutmegrock::tests
