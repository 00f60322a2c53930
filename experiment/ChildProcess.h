#pragma once

#include "core/Error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace nutmegrock::experiment {

/// A child process, signalled by its process id. The kernel kills it if the
/// thread that started it ends first.
class ChildProcess
{
public:
  /// Starts a program and appends its output to aLogFile. Fails with Internal.
  static core::Expected<ChildProcess> Start(
    const std::vector<std::string>& aCommand,
    const std::string& aLogFile);

  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  /// Kills the process if it is still running.
  ~ChildProcess();

  pid_t Id() const { return mId; }
  void Signal(int aSignal) const;
  /// Waits until the process ends. Returns the exit code (128 + signal number
  /// if a signal ended it), or empty after aTimeout.
  std::optional<int> Wait(std::chrono::milliseconds aTimeout);
  void Kill();

  /// CPU time used so far, in seconds; zero if the process has ended.
  double CpuSeconds() const;
  /// Resident memory in bytes; zero if the process has ended.
  std::uint64_t ResidentBytes() const;

private:
  explicit ChildProcess(pid_t aId)
    : mId(aId)
  {
  }

  pid_t mId = -1;
  std::optional<int> mExitCode;
};

} // namespace nutmegrock::experiment
