#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "once/Outcome.h"

#include <cstdint>
#include <memory>

namespace nutmegrock::once {

enum class OwnerState : std::uint8_t
{
  /// Certainly not run; may be dispatched.
  Fresh,
  /// Sent to one executor, which has not answered.
  Dispatched,
  /// Ran; the outcome is known.
  Done,
  /// May have run, and its executor is gone. Never dispatched again.
  Unknown
};

/// What an executor said when asked about a key.
enum class SettleState : std::uint8_t
{
  /// It has not run here and will never run here.
  Fenced,
  /// It is running; ask again later.
  Running,
  /// It ran; the outcome is given.
  Done,
  /// It may have run, and no outcome will be known.
  Unknown
};

/// The rules for one key at its owner. At most one executor may ever start the
/// call: a dispatch is allowed only in state Fresh, and the state returns to
/// Fresh only on a certain refusal of the one executor that has it.
class OwnerRecord
{
public:
  OwnerState State() const { return mState; }
  /// Executor of the latest dispatch.
  core::Incarnation Executor() const { return mExecutor; }
  const core::Address& ExecutorAddress() const { return mAddress; }
  std::shared_ptr<const Outcome> KnownOutcome() const { return mOutcome; }

  /// The call is about to be sent. Returns the number of the dispatch, or 0 and
  /// changes nothing unless Fresh.
  std::uint32_t Dispatch(core::Incarnation aExecutor,
                         const core::Address& aAddress);
  /// Number of the latest dispatch; 0 before the first.
  std::uint32_t Number() const { return mNumber; }
  /// The executor refused the dispatch, certainly without running it.
  void OnNotRun(core::Incarnation aExecutor);
  /// The executor answered.
  void OnOutcome(core::Incarnation aExecutor,
                 std::shared_ptr<const Outcome> aOutcome);
  /// The executor was asked after its answer had been lost.
  void OnSettled(core::Incarnation aExecutor,
                 SettleState aState,
                 std::shared_ptr<const Outcome> aOutcome);
  /// Another run of a node answers at the executor's address, so the executor
  /// is gone and what it did cannot be known.
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
