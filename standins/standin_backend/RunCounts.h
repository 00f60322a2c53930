#pragma once

#include "core/Time.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace nutmegrock::standin_backend {

/// Counts received requests and runs, by operation (header X-Operation) and by
/// request identity (header Nutmegrock-Request). Safe from any thread.
class RunCounts
{
public:
  /// Counts a received request, whether or not it runs.
  void AddAttempt(const std::string& aOperation, const std::string& aRequest);
  /// Counts a run that was granted its slot. aSinceDrain is the time since
  /// draining began, or negative if the server is not draining.
  void AddRun(const std::string& aOperation, core::Duration aSinceDrain);
  /// Counts the end of a run. aCompleted is false if the run failed or its
  /// caller no longer waited.
  void AddEnd(const std::string& aOperation,
              core::Duration aSlotTime,
              bool aCompleted);
  void Reset();

  /// Returns a JSON object with the totals, `executions` by operation and
  /// `attempts` by request identity.
  std::string Json() const;
  /// Returns one line for each operation: operation, attempts, runs, completed
  /// runs, slot time in microseconds.
  std::string OperationLines() const;

private:
  struct Operation
  {
    std::uint32_t mAttempts = 0;
    std::uint32_t mRuns = 0;
    std::uint32_t mCompleted = 0;
    std::int64_t mSlotMicros = 0;
  };

  mutable std::mutex mMutex;
  std::unordered_map<std::string, Operation> mOperations;
  std::unordered_map<std::string, std::uint32_t> mAttempts;
  std::uint64_t mRuns = 0;
  std::uint64_t mRunsAfterDrain = 0;
  std::uint64_t mRunsLateAfterDrain = 0;
  std::uint64_t mFailedRuns = 0;
  std::int64_t mSlotMicros = 0;
  std::int64_t mWastedMicros = 0;
};

} // namespace nutmegrock::standin_backend
