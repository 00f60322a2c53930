#pragma once

#include "core/CallContext.h"
#include "core/Incarnation.h"
#include "limits/LevelCache.h"
#include "metrics/Registry.h"
#include "node/AttemptGuard.h"
#include "node/Environment.h"
#include "retry/RetryBudget.h"
#include "retry/RetryPolicy.h"
#include "retry/RetryRatio.h"
#include "routing/Router.h"
#include "transport/Call.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace nutmegrock::node {

/// Sends one attempt to the chosen node, which may be this one.
using AttemptSender = std::function<void(const routing::Choice&,
                                         transport::PeerCall,
                                         transport::PeerResultHandler)>;

/// Dependencies that all outgoing calls of a node share. They must outlive the
/// calls.
struct OutgoingDependencies
{
  Environment mEnvironment;
  std::string mZone;
  routing::Router& mRouter;
  retry::RetryRatio& mRatio;
  const retry::RetryPolicy& mPolicy;
  limits::LevelCache& mLevels;
  metrics::Registry& mRegistry;
  AttemptSender mSend;
  /// Maximum number of immediate retries after any failure of an idempotent
  /// call, without a budget. For comparisons only; used while overload control
  /// is off.
  std::uint32_t mUnboundedRetries = 0;
  bool mOverloadEnabled = true;
};

/// How an outgoing call ended.
struct OutgoingResult
{
  core::Expected<transport::Response> mResponse;
  /// Highest load shedding level reported by the attempts and downstream.
  core::Level mLevel;
  /// Unused part of the call's retry budget.
  std::uint32_t mUnusedRetries = 0;
  /// True if any attempt was sent.
  bool mSent = false;
};

using OutgoingHandler = std::function<void(OutgoingResult)>;

/// One call from this node to a service: chooses a backend server, sends the
/// attempt, and applies RetryPolicy after a failure. Keeps itself alive until
/// its handler has been called, exactly once.
class OutgoingCall : public std::enable_shared_from_this<OutgoingCall>
{
public:
  static std::shared_ptr<OutgoingCall> Create(
    std::shared_ptr<const OutgoingDependencies> aDependencies,
    std::string aService,
    core::CallContext aContext,
    transport::Call aCall,
    OutgoingHandler aHandler);

  /// Guards the attempts of a call that must run at most once; set before
  /// Start(). Such a call is not cancelled after it was sent, since its outcome
  /// must become known.
  void SetGuard(std::shared_ptr<AttemptGuard> aGuard);

  void Start();

private:
  struct Attempt
  {
    routing::Choice mChoice;
    retry::RetryGrant mGrant;
    core::TimePoint mStarted;
    transport::CancellationPtr mCancellation;
  };

  OutgoingCall(std::shared_ptr<const OutgoingDependencies> aDependencies,
               std::string aService,
               core::CallContext aContext,
               transport::Call aCall,
               OutgoingHandler aHandler);

  void OnFirstChunk(core::Expected<transport::BodyChunk> aChunk);
  void OnCancel();
  std::optional<core::Error> CheckBeforeSending(core::TimePoint aNow);
  void SendAttempt();
  transport::BodyReaderPtr BodyOfAttempt();
  void OnResult(const Attempt& aAttempt, transport::PeerResult aResult);
  void OnSettledResult(const Attempt& aAttempt, transport::PeerResult aResult);
  void Observe(core::TimePoint aNow,
               const Attempt& aAttempt,
               const transport::PeerResult& aResult);
  void OnFailure(core::TimePoint aNow,
                 const Attempt& aAttempt,
                 const core::Error& aError,
                 core::Expected<transport::Response> aLast);
  retry::RetryDecision Decide(core::TimePoint aNow,
                              const Attempt& aAttempt,
                              const core::Error& aError);
  void Finish(core::Expected<transport::Response> aResponse);
  void Count(std::string_view aName, std::string_view aReason);

  const std::shared_ptr<const OutgoingDependencies> mDependencies;
  const std::string mService;
  const core::CallContext mContext;
  transport::Call mCall;
  OutgoingHandler mHandler;
  std::shared_ptr<AttemptGuard> mGuard;
  retry::RetryBudget mBudget;
  transport::BodyChunk mFirst;
  std::vector<core::Incarnation> mTried;
  std::uint32_t mAttempts = 0;
  std::uint32_t mFreeRetries = 0;
  core::Level mLevel;
  /// True if some attempt may have run, so that no later refusal of the call
  /// may report it as not run.
  bool mPossiblyRun = false;
  std::mutex mMutex;
  bool mCancelled = false;
  transport::CancellationPtr mCurrent;
};

} // namespace nutmegrock::node
