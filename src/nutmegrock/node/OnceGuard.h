#pragma once

#include "node/AttemptGuard.h"
#include "node/Environment.h"
#include "node/OutcomeResponse.h"
#include "once/ExecutionLedger.h"
#include "once/KeyOwner.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace nutmegrock::node {

/// Asks an executor about a dispatch.
using SettleSender = std::function<void(
  const core::Address&,
  core::Incarnation,
  const std::string& aDispatch,
  core::TimePoint aDeadline,
  std::function<void(core::Expected<once::SettleResponse>)>)>;

/// What all guards of a node share.
struct OnceServices
{
  Environment mEnvironment;
  once::KeyOwner& mOwner;
  SettleSender mSettle;
};

/// The guard of one call with a key of this node: records each dispatch and
/// result with the KeyOwner, and settles a dispatch whose answer was lost.
class OnceGuard final
  : public AttemptGuard
  , public std::enable_shared_from_this<OnceGuard>
{
public:
  OnceGuard(const OnceServices& aServices, once::IdempotencyKey aKey);
  /// Ends the use of the key.
  ~OnceGuard() override;

  std::string OnSend(const routing::Choice& aChoice) override;
  void OnResult(const routing::Choice& aChoice,
                core::TimePoint aDeadline,
                transport::PeerResult aResult,
                transport::PeerResultHandler aHandler) override;

  /// Settles an earlier dispatch of the key before anything is sent. Gives the
  /// outcome as an answer, a NotRun error when the call may be dispatched, or
  /// OutcomeUnknown.
  void Settle(core::Incarnation aExecutor,
              const core::Address& aAddress,
              std::uint32_t aNumber,
              core::TimePoint aDeadline,
              transport::PeerResultHandler aHandler);

private:
  struct Question
  {
    core::Incarnation mExecutor;
    core::Address mAddress;
    std::string mDispatch;
    core::TimePoint mDeadline;
    transport::PeerResultHandler mHandler;
    unsigned mFailures = 0;
  };

  void Ask(const std::shared_ptr<Question>& aQuestion);
  void OnSettled(const std::shared_ptr<Question>& aQuestion,
                 const core::Expected<once::SettleResponse>& aResponse);
  void AskLater(const std::shared_ptr<Question>& aQuestion);

  const OnceServices& mServices;
  const once::IdempotencyKey mKey;
  std::uint32_t mNumber = 0;
};

} // namespace nutmegrock::node
