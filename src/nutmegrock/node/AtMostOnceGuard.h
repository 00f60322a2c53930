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

/// Queries the state of a dispatch at its executor.
using SettleSender = std::function<void(
  const core::Address&,
  core::Incarnation,
  const std::string& aDispatch,
  core::TimePoint aDeadline,
  std::function<void(core::Expected<once::SettleResponse>)>)>;

/// Dependencies that all guards of a node share.
struct AtMostOnceDependencies
{
  Environment mEnvironment;
  once::KeyOwner& mOwner;
  SettleSender mSettle;
};

/// Guard of one call with a key of this node: records each dispatch and result
/// with the KeyOwner, and settles a dispatch whose response was lost.
class AtMostOnceGuard final
  : public AttemptGuard
  , public std::enable_shared_from_this<AtMostOnceGuard>
{
public:
  AtMostOnceGuard(const AtMostOnceDependencies& aDependencies,
                  once::IdempotencyKey aKey);
  /// Ends the call's use of the key.
  ~AtMostOnceGuard() override;

  std::string OnSend(const routing::Choice& aChoice) override;
  void OnResult(const routing::Choice& aChoice,
                core::TimePoint aDeadline,
                transport::PeerResult aResult,
                transport::PeerResultHandler aHandler) override;

  /// Settles an earlier dispatch of the key before anything is sent. Passes the
  /// handler the outcome as a response, an error with NotRun if the call may be
  /// dispatched, or OutcomeUnknown.
  void Settle(core::Incarnation aExecutor,
              const core::Address& aAddress,
              std::uint32_t aNumber,
              core::TimePoint aDeadline,
              transport::PeerResultHandler aHandler);

private:
  struct Query
  {
    core::Incarnation mExecutor;
    core::Address mAddress;
    std::string mDispatch;
    core::TimePoint mDeadline;
    transport::PeerResultHandler mHandler;
    unsigned mFailures = 0;
  };

  void SendQuery(const std::shared_ptr<Query>& aQuery);
  void OnSettled(const std::shared_ptr<Query>& aQuery,
                 const core::Expected<once::SettleResponse>& aResponse);
  void RetryQuery(const std::shared_ptr<Query>& aQuery);

  const AtMostOnceDependencies& mDependencies;
  const once::IdempotencyKey mKey;
  std::uint32_t mNumber = 0;
};

} // namespace nutmegrock::node
