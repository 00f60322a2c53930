#include "node/KeyedCalls.h"

#include "core/Hash.h"
#include "transport/BodyTap.h"

#include <algorithm>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::node {

namespace {

/// Pause after which a caller may ask again for an outcome.
constexpr std::chrono::milliseconds kAskAgain(200);

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
  result.mResponse.error().mRetryAfter = kAskAgain;
  return result;
}

/// The refusal for a key that is not dispatched, or null.
std::optional<OutgoingResult>
RefusalOf(once::BeginAction aAction, const core::CallContext& aContext)
{
  OutgoingResult result = Unknown("", aContext);
  switch (aAction) {
    case once::BeginAction::Busy:
      result = Refused(core::ErrorKind::DuplicateInFlight,
                       "the call with this key is in flight",
                       aContext);
      result.mResponse.error().mRetryAfter = kAskAgain;
      return result;
    case once::BeginAction::Reused:
      return Refused(core::ErrorKind::KeyReused,
                     "the key was used for another call",
                     aContext);
    case once::BeginAction::Full:
      return Refused(core::ErrorKind::QueueFull,
                     "this node has no room for further keys",
                     aContext);
    case once::BeginAction::Unknown:
      return Unknown("the outcome of the key is not known", aContext);
    default:
      return std::nullopt;
  }
}

/// Errors of a forwarded call after which only its owner knows what happened.
bool
IsOwnerLost(const core::Error& aError)
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

KeyedCalls::KeyedCalls(std::shared_ptr<const OutgoingServices> aServices,
                       OnceServices aOnce,
                       PeerSender aForward)
  : mServices(std::move(aServices))
  , mOnce(std::move(aOnce))
  , mForward(std::move(aForward))
{
}

std::string
KeyedCalls::IssueKey()
{
  return mOnce.mOwner.TextOf(mOnce.mOwner.Issue());
}

void
KeyedCalls::Run(const std::string& aService,
                core::CallContext aContext,
                transport::Call aCall,
                OutgoingHandler aHandler)
{
  auto key = mOnce.mOwner.Parse(aContext.mKey);
  if (!key) {
    aHandler(
      Refused(core::ErrorKind::KeyInvalid, key.error().mMessage, aContext));
    return;
  }
  auto arrival = std::make_shared<Arrival>(Arrival{ aService,
                                                    std::move(*key),
                                                    std::move(aContext),
                                                    std::move(aCall),
                                                    std::move(aHandler) });
  if (mOnce.mOwner.IsOwn(arrival->mKey)) {
    RunOwn(std::move(arrival));
  } else {
    Forward(arrival);
  }
}

void
KeyedCalls::RunWithNewKey(const std::string& aService,
                          core::CallContext aContext,
                          transport::Call aCall,
                          OutgoingHandler aHandler)
{
  RunOwn(std::make_shared<Arrival>(Arrival{ aService,
                                            mOnce.mOwner.Issue(),
                                            std::move(aContext),
                                            std::move(aCall),
                                            std::move(aHandler) }));
}

void
KeyedCalls::RunOwn(ArrivalPtr aArrival)
{
  if (aArrival->mCall.mBody == nullptr) {
    aArrival->mCall.mBody = transport::StringBody({});
  }
  const transport::BodyReaderPtr body = aArrival->mCall.mBody;
  body->Next([this, aArrival = std::move(aArrival)](
               core::Expected<transport::BodyChunk> aChunk) {
    if (!aChunk) {
      aArrival->mHandler(Refused(
        core::ErrorKind::BadRequest, "the body broke off", aArrival->mContext));
      return;
    }
    const transport::CallHead& head = aArrival->mCall.mHead;
    const std::uint64_t digest = core::HashOf(
      aChunk->mBytes,
      core::HashOf(fmt::format(
        "{} {} {}", aArrival->mService, head.mMethod, head.mTarget)));
    aArrival->mCall.mBody = transport::PrefixedBody(
      std::move(*aChunk), std::move(aArrival->mCall.mBody));
    Begin(aArrival, digest);
  });
}

void
KeyedCalls::Begin(const ArrivalPtr& aArrival, std::uint64_t aDigest)
{
  const once::BeginResult begin =
    mOnce.mOwner.Begin(mServices->mEnvironment.mNow(), aArrival->mKey, aDigest);
  if (begin.mAction == once::BeginAction::OutcomeKnown) {
    aArrival->mHandler({ ResponseOf(*begin.mOutcome),
                         {},
                         aArrival->mContext.mRetryBudget,
                         false });
    return;
  }
  if (auto refusal = RefusalOf(begin.mAction, aArrival->mContext)) {
    aArrival->mHandler(std::move(*refusal));
    return;
  }
  if (begin.mAction == once::BeginAction::Settle) {
    SettleFirst(aArrival, begin);
    return;
  }
  Dispatch(aArrival, std::make_shared<OnceGuard>(mOnce, aArrival->mKey));
}

void
KeyedCalls::Dispatch(const ArrivalPtr& aArrival,
                     std::shared_ptr<OnceGuard> aGuard)
{
  const auto call = OutgoingCall::Create(mServices,
                                         aArrival->mService,
                                         std::move(aArrival->mContext),
                                         std::move(aArrival->mCall),
                                         std::move(aArrival->mHandler));
  call->SetGuard(std::move(aGuard));
  call->Start();
}

void
KeyedCalls::SettleFirst(const ArrivalPtr& aArrival,
                        const once::BeginResult& aBegin)
{
  auto guard = std::make_shared<OnceGuard>(mOnce, aArrival->mKey);
  guard->Settle(aBegin.mExecutor,
                aBegin.mExecutorAddress,
                aBegin.mNumber,
                aArrival->mContext.mDeadline,
                [this, aArrival, guard](transport::PeerResult aResult) {
                  if (!aResult.mResponse && aResult.mResponse.error().mRun ==
                                              core::RunCertainty::NotRun) {
                    Dispatch(aArrival, guard);
                    return;
                  }
                  aArrival->mHandler({ std::move(aResult.mResponse),
                                       {},
                                       aArrival->mContext.mRetryBudget,
                                       true });
                });
}

void
KeyedCalls::Forward(const ArrivalPtr& aArrival)
{
  transport::PeerCall call{ aArrival->mKey.mOwner,
                            aArrival->mService,
                            aArrival->mContext,
                            std::move(aArrival->mCall) };
  mForward(aArrival->mKey.mAddress,
           std::move(call),
           [aArrival](transport::PeerResult aResult) {
             if (!aResult.mResponse && IsOwnerLost(aResult.mResponse.error())) {
               aArrival->mHandler(
                 Unknown("the node that issued the key cannot be reached",
                         aArrival->mContext));
               return;
             }
             const core::CallFeedback& feedback = aResult.mFeedback;
             aArrival->mHandler(
               { std::move(aResult.mResponse),
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
  auto key = mOnce.mOwner.Parse(aCall.mContext.mKey);
  if (!key || !mOnce.mOwner.IsOwn(*key)) {
    aHandler({ core::Fail(core::ErrorKind::KeyInvalid,
                          "the key was not issued by this node"),
               {} });
    return;
  }
  RunOwn(std::make_shared<Arrival>(
    Arrival{ aCall.mService,
             std::move(*key),
             std::move(aCall.mContext),
             std::move(aCall.mCall),
             [handler = std::move(aHandler)](OutgoingResult aResult) {
               core::CallFeedback feedback;
               feedback.mDownstreamLevel = aResult.mLevel;
               feedback.mBudgetReturned = aResult.mUnused;
               handler({ std::move(aResult.mResponse), feedback });
             } }));
}

} // namespace nutmegrock::node
