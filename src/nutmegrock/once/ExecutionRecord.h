#pragma once

#include "once/OwnerRecord.h"

#include <cstdint>
#include <memory>

namespace nutmegrock::once {

enum class ExecutionState : std::uint8_t
{
  Unseen,
  /// Accepted; it may have reached the backend server.
  Running,
  /// Answered by the backend server.
  Done,
  /// Never to run here.
  Fenced,
  /// Reached the backend server and gave no answer.
  Unknown
};

/// The rules for one key at an executor. A key starts once at most, and never
/// after the executor has refused it or promised not to run it.
class ExecutionRecord
{
public:
  ExecutionState State() const { return mState; }
  std::shared_ptr<const Outcome> KnownOutcome() const { return mOutcome; }

  /// A dispatch arrived; true if it may run.
  bool TryStart();
  /// The call was refused before anything reached the backend server.
  void OnNotRun();
  /// The backend server answered.
  void OnDone(std::shared_ptr<const Outcome> aOutcome);
  /// The call reached the backend server and gave no answer.
  void OnUnknown();
  /// The owner asks. An unseen key is fenced, so that a dispatch still on its
  /// way is refused when it arrives.
  SettleState Settle();

  bool operator==(const ExecutionRecord&) const = default;

private:
  ExecutionState mState = ExecutionState::Unseen;
  std::shared_ptr<const Outcome> mOutcome;
};

} // namespace nutmegrock::once
