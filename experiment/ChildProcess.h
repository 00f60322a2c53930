#pragma once

#include "core/Error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace nutmegrock::experiment {

/// A process that this tool started, and ends by its id. The kernel kills it
/// if the starting thread ends first.
class ChildProcess
{
public:
  /// Starts a program with its output appended to a file. Fails with Internal.
  static core::Expected<ChildProcess> Start(
    const std::vector<std::string>& aCommand,
    const std::string& aLogFile);

  ChildProcess(ChildProcess&& aOther) noexcept;
  ChildProcess& operator=(ChildProcess&& aOther) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;
  /// Kills the process if it still runs.
  ~ChildProcess();

  pid_t Id() const { return mId; }
  void Signal(int aSignal) const;
  /// Waits for the end; the exit code (128 + signal if killed), or empty at
  /// the limit.
  std::optional<int> Wait(std::chrono::milliseconds aLimit);
  void Kill();

  /// Processor time used so far, in seconds; zero if the process has ended.
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
