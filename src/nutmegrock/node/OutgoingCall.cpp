#include "node/OutgoingCall.h"

#include "node/CallerHeaders.h"
#include "transport/BodyTap.h"

#include <algorithm>
#include <limits>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::node {

namespace {

/// Returns true if the result came from the serving node, so that its feedback
/// is valid.
bool
IsFromServingNode(const transport::PeerResult& aResult)
{
  if (aResult.mResponse) {
    return true;
  }
  switch (aResult.mResponse.error().mKind) {
    case core::ErrorKind::PeerUnreachable:
    case core::ErrorKind::PeerLost:
    case core::ErrorKind::ProtocolError:
    case core::ErrorKind::Cancelled:
    case core::ErrorKind::DeadlineExceeded:
      return false;
    default:
      return true;
  }
}

routing::AttemptOutcome
OutcomeOf(const core::Error& aError)
{
  using enum core::ErrorKind;
  switch (aError.mKind) {
    case QueueFull:
    case LevelTooLow:
    case QueueTimeout:
    case BackendShed:
    case TooManyConnections:
      return routing::AttemptOutcome::Refused;
    case Draining:
    case NotReady:
    case WrongIncarnation:
      return routing::AttemptOutcome::Unavailable;
    case Cancelled:
    case BodyIncomplete:
    case BodyTooLarge:
      return routing::AttemptOutcome::Cancelled;
    case BackendTimeout:
    case DeadlineExceeded:
      // A refusal after the deadline is no sign of poor health.
      return aError.mRun == core::RunCertainty::NotRun
               ? routing::AttemptOutcome::Refused
               : routing::AttemptOutcome::TimedOut;
    default:
      return routing::AttemptOutcome::Failed;
  }
}

routing::AttemptOutcome
OutcomeOf(const transport::PeerResult& aResult)
{
  if (!aResult.mResponse) {
    return OutcomeOf(aResult.mResponse.error());
  }
  return aResult.mResponse->mHead.mStatus >= kMinServerError
           ? routing::AttemptOutcome::Failed
           : routing::AttemptOutcome::Ok;
}

/// Returns the error for a response with a failure status.
core::Error
ErrorOfResponse(const transport::Response& aResponse)
{
  core::Error error =
    core::MakeError(core::ErrorKind::BackendFailed,
                    fmt::format("status {}", aResponse.mHead.mStatus));
  error.mRetryDecided =
    transport::FindHeader(aResponse.mHead.mHeaders, kRetryHeader) != nullptr;
  return error;
}

} // namespace

std::shared_ptr<OutgoingCall>
OutgoingCall::Create(std::shared_ptr<const OutgoingDependencies> aDependencies,
                     std::string aService,
                     core::CallContext aContext,
                     transport::Call aCall,
                     OutgoingHandler aHandler)
{
  return std::shared_ptr<OutgoingCall>(
    new OutgoingCall(std::move(aDependencies),
                     std::move(aService),
                     std::move(aContext),
                     std::move(aCall),
                     std::move(aHandler)));
}

OutgoingCall::OutgoingCall(
  std::shared_ptr<const OutgoingDependencies> aDependencies,
  std::string aService,
  core::CallContext aContext,
  transport::Call aCall,
  OutgoingHandler aHandler)
  : mDependencies(std::move(aDependencies))
  , mService(std::move(aService))
  , mContext(std::move(aContext))
  , mCall(std::move(aCall))
  , mHandler(std::move(aHandler))
  , mBudget(mContext.mRetryBudget)
{
}

void
OutgoingCall::SetGuard(std::shared_ptr<AttemptGuard> aGuard)
{
  mGuard = std::move(aGuard);
}

void
OutgoingCall::Start()
{
  if (mCall.mCancellation != nullptr) {
    mCall.mCancellation->OnCancel([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->OnCancel();
      }
    });
  }
  if (mCall.mBody == nullptr) {
    OnFirstChunk(transport::BodyChunk{ {}, true });
    return;
  }
  mCall.mBody->Next(
    [self = shared_from_this()](core::Expected<transport::BodyChunk> aChunk) {
      self->OnFirstChunk(std::move(aChunk));
    });
}

void
OutgoingCall::OnFirstChunk(core::Expected<transport::BodyChunk> aChunk)
{
  if (!aChunk) {
    core::Error error = std::move(aChunk.error());
    // Reading the body failed before any attempt was sent.
    error.mRun = core::RunCertainty::NotRun;
    Finish(tl::make_unexpected(std::move(error)));
    return;
  }
  mFirst = std::move(*aChunk);
  SendAttempt();
}

void
OutgoingCall::OnCancel()
{
  transport::CancellationPtr current;
  {
    const std::lock_guard lock(mMutex);
    mCancelled = true;
    current = mCurrent;
  }
  if (current != nullptr && mGuard == nullptr) {
    current->Cancel();
  }
}

transport::BodyReaderPtr
OutgoingCall::BodyOfAttempt()
{
  if (mFirst.mLast) {
    return transport::StringBody(mFirst.mBytes);
  }
  return transport::PrefixedBody(std::move(mFirst), mCall.mBody);
}

std::optional<core::Error>
OutgoingCall::CheckBeforeSending(core::TimePoint aNow)
{
  const auto refusal = [](core::ErrorKind aKind, const char* aMessage) {
    core::Error error = core::MakeError(aKind, aMessage);
    error.mRun = core::RunCertainty::NotRun;
    error.mRetryDecided = true;
    return error;
  };
  if (aNow >= mContext.mDeadline) {
    return refusal(core::ErrorKind::DeadlineExceeded,
                   "the deadline passed before sending");
  }
  const std::lock_guard lock(mMutex);
  if (mCancelled) {
    return refusal(core::ErrorKind::Cancelled, "the caller cancelled the call");
  }
  return std::nullopt;
}

void
OutgoingCall::SendAttempt()
{
  const core::TimePoint now = mDependencies->mEnvironment.mNow();
  if (const auto error = CheckBeforeSending(now)) {
    Finish(tl::make_unexpected(*error));
    return;
  }
  const auto choice = mDependencies->mRouter.Choose(
    now, mService, mContext.mRequest.Hash(), mDependencies->mZone, mTried);
  if (!choice) {
    core::Error error = choice.error();
    error.mRetryDecided = true;
    Finish(tl::make_unexpected(std::move(error)));
    return;
  }
  const Attempt attempt{
    *choice, mBudget.Grant(), now, std::make_shared<transport::Cancellation>()
  };
  {
    const std::lock_guard lock(mMutex);
    mCurrent = attempt.mCancellation;
  }
  ++mAttempts;
  Count("nutmegrock_attempts_total", "");
  core::CallContext context = mContext;
  context.mRetryBudget = attempt.mGrant.mAmount;
  if (mGuard != nullptr) {
    context.mKey = mGuard->OnSend(*choice);
    if (context.mKey.empty()) {
      Finish(core::Fail(core::ErrorKind::OutcomeUnknown,
                        "another call is using the key"));
      return;
    }
  }
  transport::PeerCall call{
    choice->mIncarnation,
    mService,
    std::move(context),
    { mCall.mHead, BodyOfAttempt(), attempt.mCancellation }
  };
  mDependencies->mRouter.OnStart(now, choice->mIncarnation);
  mDependencies->mSend(
    *choice,
    std::move(call),
    [self = shared_from_this(), attempt](transport::PeerResult aResult) {
      self->OnResult(attempt, std::move(aResult));
    });
}

void
OutgoingCall::Observe(core::TimePoint aNow,
                      const Attempt& aAttempt,
                      const transport::PeerResult& aResult)
{
  const bool has_feedback = IsFromServingNode(aResult);
  mDependencies->mRouter.OnEnd(aNow,
                               aAttempt.mChoice.mIncarnation,
                               OutcomeOf(aResult),
                               aNow - aAttempt.mStarted,
                               has_feedback ? &aResult.mFeedback : nullptr);
  if (!has_feedback) {
    return;
  }
  mDependencies->mLevels.Learn(
    aNow, mService, mContext.mProfile, aResult.mFeedback);
  mBudget.Return(aAttempt.mGrant.mId, aResult.mFeedback.mBudgetReturned);
  mLevel = std::max(
    { mLevel, aResult.mFeedback.mLevel, aResult.mFeedback.mDownstreamLevel });
}

void
OutgoingCall::OnResult(const Attempt& aAttempt, transport::PeerResult aResult)
{
  const core::TimePoint now = mDependencies->mEnvironment.mNow();
  {
    const std::lock_guard lock(mMutex);
    mCurrent.reset();
  }
  Observe(now, aAttempt, aResult);
  if (mGuard == nullptr) {
    OnSettledResult(aAttempt, std::move(aResult));
    return;
  }
  mGuard->OnResult(
    aAttempt.mChoice,
    mContext.mDeadline,
    std::move(aResult),
    [self = shared_from_this(), aAttempt](transport::PeerResult aSettled) {
      self->OnSettledResult(aAttempt, std::move(aSettled));
    });
}

void
OutgoingCall::OnSettledResult(const Attempt& aAttempt,
                              transport::PeerResult aResult)
{
  const core::TimePoint now = mDependencies->mEnvironment.mNow();
  mPossiblyRun = mPossiblyRun || aResult.mResponse.has_value() ||
                 aResult.mResponse.error().mRun != core::RunCertainty::NotRun;
  if (!aResult.mResponse) {
    const core::Error error = aResult.mResponse.error();
    OnFailure(now, aAttempt, error, std::move(aResult.mResponse));
    return;
  }
  if (aResult.mResponse->mHead.mStatus >= kMinServerError) {
    const core::Error error = ErrorOfResponse(*aResult.mResponse);
    OnFailure(now, aAttempt, error, std::move(aResult.mResponse));
    return;
  }
  if (mAttempts == 1) {
    mDependencies->mRatio.OnSuccess(now, mService);
  }
  Finish(std::move(aResult.mResponse));
}

retry::RetryDecision
OutgoingCall::Decide(core::TimePoint aNow,
                     const Attempt& aAttempt,
                     const core::Error& aError)
{
  if (!mDependencies->mOverloadEnabled) {
    const bool safe =
      mContext.mIdempotent || aError.mRun == core::RunCertainty::NotRun;
    const bool more = mAttempts <= mDependencies->mUnboundedRetries && safe;
    return { more ? retry::RetryAction::AfterDelay : retry::RetryAction::Stop,
             more ? retry::RetryReason::AfterDelay
                  : retry::RetryReason::NotRetryable,
             core::Duration::zero() };
  }
  std::vector<core::Incarnation> excluded = mTried;
  excluded.push_back(aAttempt.mChoice.mIncarnation);
  const retry::RetryCall call{
    mService,
    mContext.mDeadline,
    mContext.mIdempotent,
    mAttempts,
    mFreeRetries,
    mDependencies->mRouter.Available(aNow, mService, excluded),
    mDependencies->mRouter.TypicalLatency(mService)
  };
  const auto random = [this] {
    return static_cast<double>(mDependencies->mEnvironment.mRandom()) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  };
  return mDependencies->mPolicy.Decide(
    aNow, aError, call, mBudget, mDependencies->mRatio, random);
}

void
OutgoingCall::OnFailure(core::TimePoint aNow,
                        const Attempt& aAttempt,
                        const core::Error& aError,
                        core::Expected<transport::Response> aLast)
{
  bool cancelled = false;
  {
    const std::lock_guard lock(mMutex);
    cancelled = mCancelled;
  }
  retry::RetryDecision decision;
  // A body of more than one chunk is streamed and cannot be sent again.
  if (mFirst.mLast && !cancelled) {
    decision = Decide(aNow, aAttempt, aError);
  }
  Count("nutmegrock_retry_decisions_total", retry::NameOf(decision.mReason));
  if (decision.mAction == retry::RetryAction::Stop) {
    if (!aLast) {
      aLast.error().mRetryDecided = true;
    }
    Finish(std::move(aLast));
    return;
  }
  if (decision.mReason == retry::RetryReason::FreeElsewhere) {
    ++mFreeRetries;
  }
  if (decision.mAction == retry::RetryAction::Elsewhere) {
    mTried.push_back(aAttempt.mChoice.mIncarnation);
    SendAttempt();
    return;
  }
  mDependencies->mEnvironment.mSchedule(
    aNow + decision.mDelay,
    [self = shared_from_this()] { self->SendAttempt(); });
}

void
OutgoingCall::Finish(core::Expected<transport::Response> aResponse)
{
  if (!aResponse && mPossiblyRun) {
    aResponse =
      tl::make_unexpected(core::MarkPossiblyRun(std::move(aResponse.error())));
  }
  OutgoingResult result{
    std::move(aResponse), mLevel, mBudget.Close(), mAttempts > 0
  };
  auto handler = std::move(mHandler);
  mHandler = nullptr;
  handler(std::move(result));
}

void
OutgoingCall::Count(std::string_view aName, std::string_view aReason)
{
  metrics::Labels labels = { { "service", mService },
                             { "profile", mContext.mProfile } };
  if (!aReason.empty()) {
    labels.emplace_back("reason", aReason);
  }
  mDependencies->mRegistry.CounterOf(aName, labels).Add();
}

} // namespace nutmegrock::node
