#include "standins/standin_backend/RunCounts.h"

#include <cpprest/json.h>

namespace nutmegrock::standin_backend {

namespace {

// Invariant I6: a draining server receives no new work after this time.
constexpr std::chrono::seconds kDrainLimit{ 3 };

} // namespace

void
RunCounts::AddAttempt(const std::string& aOperation,
                      const std::string& aRequest)
{
  const std::lock_guard lock(mMutex);
  ++mOperations[aOperation].mAttempts;
  ++mAttempts[aRequest];
}

void
RunCounts::AddRun(const std::string& aOperation, core::Duration aSinceDrain)
{
  const std::lock_guard lock(mMutex);
  ++mOperations[aOperation].mRuns;
  ++mRuns;
  if (aSinceDrain >= core::Duration::zero()) {
    ++mRunsAfterDrain;
    if (aSinceDrain > kDrainLimit) {
      ++mRunsLateAfterDrain;
    }
  }
}

void
RunCounts::AddEnd(const std::string& aOperation,
                  core::Duration aSlotTime,
                  bool aCompleted)
{
  const std::lock_guard lock(mMutex);
  const std::int64_t micros = core::ToMicros(aSlotTime);
  Operation& operation = mOperations[aOperation];
  operation.mSlotMicros += micros;
  mSlotMicros += micros;
  if (aCompleted) {
    ++operation.mCompleted;
  } else {
    mWastedMicros += micros;
    ++mFailedRuns;
  }
}

void
RunCounts::Reset()
{
  const std::lock_guard lock(mMutex);
  mOperations.clear();
  mAttempts.clear();
  mRuns = mRunsAfterDrain = mRunsLateAfterDrain = mFailedRuns = 0;
  mSlotMicros = mWastedMicros = 0;
}

std::string
RunCounts::Json() const
{
  const std::lock_guard lock(mMutex);
  using web::json::value;
  std::vector<std::pair<std::string, value>> executions;
  for (const auto& [name, operation] : mOperations) {
    executions.emplace_back(name, value::number(operation.mRuns));
  }
  std::vector<std::pair<std::string, value>> attempts;
  for (const auto& [name, count] : mAttempts) {
    attempts.emplace_back(name, value::number(count));
  }
  auto counts = value::object();
  counts["runs"] = value::number(mRuns);
  counts["failed_runs"] = value::number(mFailedRuns);
  counts["runs_after_drain"] = value::number(mRunsAfterDrain);
  counts["runs_3s_after_drain"] = value::number(mRunsLateAfterDrain);
  counts["slot_us"] = value::number(mSlotMicros);
  counts["wasted_slot_us"] = value::number(mWastedMicros);
  counts["executions"] = value::object(std::move(executions));
  counts["attempts"] = value::object(std::move(attempts));
  return counts.serialize();
}

std::string
RunCounts::OperationLines() const
{
  const std::lock_guard lock(mMutex);
  std::string lines;
  for (const auto& [name, operation] : mOperations) {
    lines += name;
    lines += ' ' + std::to_string(operation.mAttempts);
    lines += ' ' + std::to_string(operation.mRuns);
    lines += ' ' + std::to_string(operation.mCompleted);
    lines += ' ' + std::to_string(operation.mSlotMicros) + '\n';
  }
  return lines;
}

} // namespace nutmegrock::standin_backend
