#include "once/OwnerRecord.h"

#include <utility>

namespace nutmegrock::once {

bool
OwnerRecord::IsAt(core::Incarnation aExecutor) const
{
  return mState == OwnerState::Dispatched && mExecutor == aExecutor;
}

std::uint32_t
OwnerRecord::Dispatch(core::Incarnation aExecutor,
                      const core::Address& aAddress)
{
  if (mState != OwnerState::Fresh) {
    return 0;
  }
  mState = OwnerState::Dispatched;
  mExecutor = aExecutor;
  mAddress = aAddress;
  return ++mNumber;
}

void
OwnerRecord::OnNotRun(core::Incarnation aExecutor)
{
  if (IsAt(aExecutor)) {
    mState = OwnerState::Fresh;
  }
}

void
OwnerRecord::OnOutcome(core::Incarnation aExecutor,
                       std::shared_ptr<const Outcome> aOutcome)
{
  if (IsAt(aExecutor)) {
    mState = OwnerState::Done;
    mOutcome = std::move(aOutcome);
  }
}

void
OwnerRecord::OnSettled(core::Incarnation aExecutor,
                       SettleState aState,
                       std::shared_ptr<const Outcome> aOutcome)
{
  switch (aState) {
    case SettleState::Fenced:
      OnNotRun(aExecutor);
      break;
    case SettleState::Done:
      OnOutcome(aExecutor, std::move(aOutcome));
      break;
    case SettleState::Unknown:
      OnExecutorLost(aExecutor);
      break;
    case SettleState::Running:
      break;
  }
}

void
OwnerRecord::OnExecutorLost(core::Incarnation aExecutor)
{
  if (IsAt(aExecutor)) {
    mState = OwnerState::Unknown;
  }
}

} // namespace nutmegrock::once
