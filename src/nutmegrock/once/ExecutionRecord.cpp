#include "once/ExecutionRecord.h"

#include <utility>

namespace nutmegrock::once {

bool
ExecutionRecord::TryStart()
{
  if (mState != ExecutionState::Unseen) {
    return false;
  }
  mState = ExecutionState::Running;
  return true;
}

void
ExecutionRecord::OnNotRun()
{
  if (mState == ExecutionState::Unseen || mState == ExecutionState::Running) {
    mState = ExecutionState::Fenced;
  }
}

void
ExecutionRecord::OnDone(std::shared_ptr<const Outcome> aOutcome)
{
  if (mState == ExecutionState::Running) {
    mState = ExecutionState::Done;
    mOutcome = std::move(aOutcome);
  }
}

void
ExecutionRecord::OnUnknown()
{
  if (mState == ExecutionState::Running) {
    mState = ExecutionState::Unknown;
  }
}

SettleState
ExecutionRecord::Settle()
{
  switch (mState) {
    case ExecutionState::Unseen:
      mState = ExecutionState::Fenced;
      return SettleState::Fenced;
    case ExecutionState::Fenced:
      return SettleState::Fenced;
    case ExecutionState::Running:
      return SettleState::Running;
    case ExecutionState::Done:
      return SettleState::Done;
    case ExecutionState::Unknown:
      break;
  }
  return SettleState::Unknown;
}

} // namespace nutmegrock::once
