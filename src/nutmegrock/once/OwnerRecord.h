#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "once/Outcome.h"

#include <cstdint>
#include <memory>

namespace nutmegrock::once {

enum class OwnerState : std::uint8_t
{
  /// Known not to have run; may be dispatched.
  Fresh,
  /// Sent to one executor, which has not responded yet.
  Dispatched,
  /// The call ran; its outcome is known.
  Done,
  /// The call may have run, and its executor is gone. Never dispatched again.
  Unknown
};

/// Result of a settle request, as reported by the executor.
enum class SettleState : std::uint8_t
{
  /// The call has not run here and never will.
  Fenced,
  /// The call is running; settle again later.
  Running,
  /// The call ran; the outcome is included.
  Done,
  /// The call may have run, and its outcome will never be known.
  Unknown
};

/// State machine of one key at its owner. At most one executor may ever start
/// the call: a dispatch is allowed only in state Fresh, and the state returns
/// to Fresh only when the current executor has definitely refused the call.
class OwnerRecord
{
public:
  OwnerState State() const { return mState; }
  /// Executor of the latest dispatch.
  core::Incarnation Executor() const { return mExecutor; }
  const core::Address& ExecutorAddress() const { return mAddress; }
  std::shared_ptr<const Outcome> KnownOutcome() const { return mOutcome; }

  /// Call before sending. Returns the number of the dispatch; returns 0 and
  /// changes nothing unless the state is Fresh.
  std::uint32_t Dispatch(core::Incarnation aExecutor,
                         const core::Address& aAddress);
  /// Number of the latest dispatch; 0 before the first.
  std::uint32_t Number() const { return mNumber; }
  /// The executor refused the dispatch and has definitely not run it.
  void OnNotRun(core::Incarnation aExecutor);
  /// The executor responded.
  void OnOutcome(core::Incarnation aExecutor,
                 std::shared_ptr<const Outcome> aOutcome);
  /// The executor responded to a settle request, sent after its response had
  /// been lost.
  void OnSettled(core::Incarnation aExecutor,
                 SettleState aState,
                 std::shared_ptr<const Outcome> aOutcome);
  /// Another incarnation responds at the executor's address, so the executor is
  /// gone and whether it ran the call cannot be determined.
  void OnExecutorLost(core::Incarnation aExecutor);

  bool operator==(const OwnerRecord&) const = default;

private:
  bool IsAt(core::Incarnation aExecutor) const;

  OwnerState mState = OwnerState::Fresh;
  core::Incarnation mExecutor;
  core::Address mAddress;
  std::uint32_t mNumber = 0;
  std::shared_ptr<const Outcome> mOutcome;
};

} // namespace nutmegrock::once
