#pragma once

#include "once/OwnerRecord.h"

#include <cstdint>
#include <memory>

namespace nutmegrock::once {

enum class ExecutionState : std::uint8_t
{
  Unseen,
  /// Accepted; the call may have reached the backend server.
  Running,
  /// The backend server responded.
  Done,
  /// Will never run here.
  Fenced,
  /// The call reached the backend server, which did not respond.
  Unknown
};

/// State machine of one key at an executor. The call starts at most once, and
/// never after the executor has refused it or has fenced the key.
class ExecutionRecord
{
public:
  ExecutionState State() const { return mState; }
  std::shared_ptr<const Outcome> KnownOutcome() const { return mOutcome; }

  /// Records the arrival of a dispatch. Returns true if it may run.
  bool TryStart();
  /// The call was refused before it reached the backend server.
  void OnNotRun();
  /// The backend server responded.
  void OnDone(std::shared_ptr<const Outcome> aOutcome);
  /// The call reached the backend server, which did not respond.
  void OnUnknown();
  /// Handles a settle request of the owner. An unseen key becomes fenced, so
  /// that a dispatch still in transit is refused on arrival.
  SettleState Settle();

  bool operator==(const ExecutionRecord&) const = default;

private:
  ExecutionState mState = ExecutionState::Unseen;
  std::shared_ptr<const Outcome> mOutcome;
};

} // namespace nutmegrock::once
