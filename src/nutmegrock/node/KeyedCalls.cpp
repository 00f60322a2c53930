#include "node/KeyedCalls.h"

#include "core/Hash.h"
#include "transport/BodyTap.h"

#include <algorithm>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::node {

namespace {

/// Delay after which a caller may repeat the call to get the outcome.
constexpr std::chrono::milliseconds kRetryDelay(200);

OutgoingResult
Refused(core::ErrorKind aKind,
        std::string aMessage,
        const core::CallContext& aContext)
{
  core::Error error = core::MakeError(aKind, std::move(aMessage));
  error.mRetryDecided = true;
  return {
    tl::make_unexpected(std::move(error)), {}, aContext.mRetryBudget, false
  };
}

OutgoingResult
Unknown(std::string aMessage, const core::CallContext& aContext)
{
  OutgoingResult result =
    Refused(core::ErrorKind::OutcomeUnknown, std::move(aMessage), aContext);
  result.mResponse.error().mRetryAfter = kRetryDelay;
  return result;
}

/// Returns the refusal for a key that is not dispatched, or nothing.
std::optional<OutgoingResult>
RefusalOf(once::BeginAction aAction, const core::CallContext& aContext)
{
  OutgoingResult result = Unknown("", aContext);
  switch (aAction) {
    case once::BeginAction::Busy:
      result = Refused(core::ErrorKind::DuplicateInFlight,
                       "the call with this key is in flight",
                       aContext);
      result.mResponse.error().mRetryAfter = kRetryDelay;
      return result;
    case once::BeginAction::Reused:
      return Refused(core::ErrorKind::KeyReused,
                     "the key was used for another call",
                     aContext);
    case once::BeginAction::Full:
      return Refused(core::ErrorKind::QueueFull,
                     "this node has reached its limit of keys",
                     aContext);
    case once::BeginAction::Unknown:
      return Unknown("the outcome of the call with this key is unknown",
                     aContext);
    default:
      return std::nullopt;
  }
}

/// Returns true for errors of a forwarded call after which only the owner knows
/// the outcome.
bool
IsOwnerUnreachable(const core::Error& aError)
{
  switch (aError.mKind) {
    case core::ErrorKind::PeerUnreachable:
    case core::ErrorKind::PeerLost:
    case core::ErrorKind::WrongIncarnation:
    case core::ErrorKind::ProtocolError:
    case core::ErrorKind::DeadlineExceeded:
    case core::ErrorKind::Cancelled:
      return true;
    default:
      return false;
  }
}

} // namespace

KeyedCalls::KeyedCalls(
  std::shared_ptr<const OutgoingDependencies> aDependencies,
  AtMostOnceDependencies aAtMostOnce,
  PeerSender aForward)
  : mDependencies(std::move(aDependencies))
  , mAtMostOnce(std::move(aAtMostOnce))
  , mForward(std::move(aForward))
{
}

std::string
KeyedCalls::IssueKey()
{
  return mAtMostOnce.mOwner.TextOf(mAtMostOnce.mOwner.Issue());
}

void
KeyedCalls::Run(const std::string& aService,
                core::CallContext aContext,
                transport::Call aCall,
                OutgoingHandler aHandler)
{
  auto key = mAtMostOnce.mOwner.Parse(aContext.mKey);
  if (!key) {
    aHandler(
      Refused(core::ErrorKind::KeyInvalid, key.error().mMessage, aContext));
    return;
  }
  auto pending =
    std::make_shared<PendingCall>(PendingCall{ aService,
                                               std::move(*key),
                                               std::move(aContext),
                                               std::move(aCall),
                                               std::move(aHandler) });
  if (mAtMostOnce.mOwner.IsOwn(pending->mKey)) {
    RunLocally(std::move(pending));
  } else {
    Forward(pending);
  }
}

void
KeyedCalls::RunWithNewKey(const std::string& aService,
                          core::CallContext aContext,
                          transport::Call aCall,
                          OutgoingHandler aHandler)
{
  RunLocally(
    std::make_shared<PendingCall>(PendingCall{ aService,
                                               mAtMostOnce.mOwner.Issue(),
                                               std::move(aContext),
                                               std::move(aCall),
                                               std::move(aHandler) }));
}

void
KeyedCalls::RunLocally(PendingCallPtr aPending)
{
  if (aPending->mCall.mBody == nullptr) {
    aPending->mCall.mBody = transport::StringBody({});
  }
  const transport::BodyReaderPtr body = aPending->mCall.mBody;
  body->Next([this, aPending = std::move(aPending)](
               core::Expected<transport::BodyChunk> aChunk) {
    if (!aChunk) {
      aPending->mHandler(Refused(core::ErrorKind::BadRequest,
                                 "the request body is incomplete",
                                 aPending->mContext));
      return;
    }
    const transport::CallHead& head = aPending->mCall.mHead;
    const std::uint64_t digest = core::HashOf(
      aChunk->mBytes,
      core::HashOf(fmt::format(
        "{} {} {}", aPending->mService, head.mMethod, head.mTarget)));
    aPending->mCall.mBody = transport::PrefixedBody(
      std::move(*aChunk), std::move(aPending->mCall.mBody));
    Begin(aPending, digest);
  });
}

void
KeyedCalls::Begin(const PendingCallPtr& aPending, std::uint64_t aDigest)
{
  const once::BeginResult begin = mAtMostOnce.mOwner.Begin(
    mDependencies->mEnvironment.mNow(), aPending->mKey, aDigest);
  if (begin.mAction == once::BeginAction::OutcomeKnown) {
    aPending->mHandler({ ResponseOf(*begin.mOutcome),
                         {},
                         aPending->mContext.mRetryBudget,
                         false });
    return;
  }
  if (auto refusal = RefusalOf(begin.mAction, aPending->mContext)) {
    aPending->mHandler(std::move(*refusal));
    return;
  }
  if (begin.mAction == once::BeginAction::Settle) {
    SettleFirst(aPending, begin);
    return;
  }
  Dispatch(aPending,
           std::make_shared<AtMostOnceGuard>(mAtMostOnce, aPending->mKey));
}

void
KeyedCalls::Dispatch(const PendingCallPtr& aPending,
                     std::shared_ptr<AtMostOnceGuard> aGuard)
{
  const auto call = OutgoingCall::Create(mDependencies,
                                         aPending->mService,
                                         std::move(aPending->mContext),
                                         std::move(aPending->mCall),
                                         std::move(aPending->mHandler));
  call->SetGuard(std::move(aGuard));
  call->Start();
}

void
KeyedCalls::SettleFirst(const PendingCallPtr& aPending,
                        const once::BeginResult& aBegin)
{
  auto guard = std::make_shared<AtMostOnceGuard>(mAtMostOnce, aPending->mKey);
  guard->Settle(aBegin.mExecutor,
                aBegin.mExecutorAddress,
                aBegin.mNumber,
                aPending->mContext.mDeadline,
                [this, aPending, guard](transport::PeerResult aResult) {
                  if (!aResult.mResponse && aResult.mResponse.error().mRun ==
                                              core::RunCertainty::NotRun) {
                    Dispatch(aPending, guard);
                    return;
                  }
                  aPending->mHandler({ std::move(aResult.mResponse),
                                       {},
                                       aPending->mContext.mRetryBudget,
                                       true });
                });
}

void
KeyedCalls::Forward(const PendingCallPtr& aPending)
{
  transport::PeerCall call{ aPending->mKey.mOwner,
                            aPending->mService,
                            aPending->mContext,
                            std::move(aPending->mCall) };
  mForward(
    aPending->mKey.mAddress,
    std::move(call),
    [aPending](transport::PeerResult aResult) {
      if (!aResult.mResponse && IsOwnerUnreachable(aResult.mResponse.error())) {
        aPending->mHandler(Unknown(
          "the node that issued the key is unreachable", aPending->mContext));
        return;
      }
      const core::CallFeedback& feedback = aResult.mFeedback;
      aPending->mHandler({ std::move(aResult.mResponse),
                           std::max(feedback.mLevel, feedback.mDownstreamLevel),
                           feedback.mBudgetReturned,
                           true });
    });
}

bool
KeyedCalls::IsForwarded(const core::CallContext& aContext)
{
  return !aContext.mKey.empty() && aContext.mKey.find('#') == std::string::npos;
}

void
KeyedCalls::HandleForwarded(transport::PeerCall aCall,
                            transport::PeerResultHandler aHandler)
{
  auto key = mAtMostOnce.mOwner.Parse(aCall.mContext.mKey);
  if (!key || !mAtMostOnce.mOwner.IsOwn(*key)) {
    aHandler({ core::Fail(core::ErrorKind::KeyInvalid,
                          "the key was not issued by this node"),
               {} });
    return;
  }
  RunLocally(std::make_shared<PendingCall>(
    PendingCall{ aCall.mService,
                 std::move(*key),
                 std::move(aCall.mContext),
                 std::move(aCall.mCall),
                 [handler = std::move(aHandler)](OutgoingResult aResult) {
                   core::CallFeedback feedback;
                   feedback.mDownstreamLevel = aResult.mLevel;
                   feedback.mBudgetReturned = aResult.mUnusedRetries;
                   handler({ std::move(aResult.mResponse), feedback });
                 } }));
}

} // namespace nutmegrock::node
