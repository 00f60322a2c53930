#include "node/OnceGuard.h"

#include "once/Dispatch.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::node {

namespace {

/// Pause between two questions about a dispatch that is still running.
constexpr std::chrono::milliseconds kAskAgain(50);
/// Time for one answer.
constexpr std::chrono::milliseconds kResponseTime(500);
/// Questions without an answer before the caller is told that the outcome is
/// unknown; it can ask again with its key.
constexpr unsigned kMaxFailures = 3;

transport::PeerResult
Failed(core::ErrorKind aKind, std::string aMessage)
{
  return { core::Fail(aKind, std::move(aMessage)), {} };
}

transport::PeerResult
Unknown(std::string aMessage)
{
  core::Error error =
    core::MakeError(core::ErrorKind::OutcomeUnknown, std::move(aMessage));
  error.mRetryDecided = true;
  error.mRetryAfter = std::chrono::seconds(1);
  return { tl::make_unexpected(std::move(error)), {} };
}

} // namespace

OnceGuard::OnceGuard(const OnceServices& aServices, once::IdempotencyKey aKey)
  : mServices(aServices)
  , mKey(std::move(aKey))
{
}

OnceGuard::~OnceGuard()
{
  mServices.mOwner.End(mServices.mEnvironment.mNow(), mKey);
}

std::string
OnceGuard::OnSend(const routing::Choice& aChoice)
{
  mNumber =
    mServices.mOwner.OnDispatch(mKey, aChoice.mIncarnation, aChoice.mPeer);
  if (mNumber == 0) {
    return {};
  }
  return mServices.mOwner.TextOf(once::Dispatch{ mKey, mNumber });
}

void
OnceGuard::OnResult(const routing::Choice& aChoice,
                    core::TimePoint aDeadline,
                    transport::PeerResult aResult,
                    transport::PeerResultHandler aHandler)
{
  if (aResult.mResponse) {
    KeepOutcome(
      std::move(*aResult.mResponse),
      [self = shared_from_this(),
       executor = aChoice.mIncarnation,
       feedback = aResult.mFeedback,
       handler = std::move(aHandler)](
        OutcomePtr aOutcome, core::Expected<transport::Response> aResponse) {
        self->mServices.mOwner.OnOutcome(
          self->mKey, executor, std::move(aOutcome));
        handler({ std::move(aResponse), feedback });
      });
    return;
  }
  if (aResult.mResponse.error().mRun == core::RunCertainty::NotRun) {
    mServices.mOwner.OnNotRun(mKey, aChoice.mIncarnation);
    aHandler(std::move(aResult));
    return;
  }
  Settle(aChoice.mIncarnation,
         aChoice.mPeer,
         mNumber,
         aDeadline,
         std::move(aHandler));
}

void
OnceGuard::Settle(core::Incarnation aExecutor,
                  const core::Address& aAddress,
                  std::uint32_t aNumber,
                  core::TimePoint aDeadline,
                  transport::PeerResultHandler aHandler)
{
  auto question = std::make_shared<Question>();
  question->mExecutor = aExecutor;
  question->mAddress = aAddress;
  question->mDispatch =
    mServices.mOwner.TextOf(once::Dispatch{ mKey, aNumber });
  question->mDeadline = aDeadline;
  question->mHandler = std::move(aHandler);
  Ask(question);
}

void
OnceGuard::Ask(const std::shared_ptr<Question>& aQuestion)
{
  mServices.mSettle(aQuestion->mAddress,
                    aQuestion->mExecutor,
                    aQuestion->mDispatch,
                    mServices.mEnvironment.mNow() + kResponseTime,
                    [self = shared_from_this(), aQuestion](
                      const core::Expected<once::SettleResponse>& aResponse) {
                      self->OnSettled(aQuestion, aResponse);
                    });
}

void
OnceGuard::AskLater(const std::shared_ptr<Question>& aQuestion)
{
  const core::TimePoint next = mServices.mEnvironment.mNow() + kAskAgain;
  if (next >= aQuestion->mDeadline || aQuestion->mFailures >= kMaxFailures) {
    aQuestion->mHandler(
      Unknown("the call was sent and its outcome is not known yet"));
    return;
  }
  mServices.mEnvironment.mAt(
    next, [self = shared_from_this(), aQuestion] { self->Ask(aQuestion); });
}

void
OnceGuard::OnSettled(const std::shared_ptr<Question>& aQuestion,
                     const core::Expected<once::SettleResponse>& aResponse)
{
  if (!aResponse) {
    if (aResponse.error().mKind == core::ErrorKind::WrongIncarnation) {
      mServices.mOwner.OnExecutorLost(mKey, aQuestion->mExecutor);
      aQuestion->mHandler(Unknown("the node that had the call was replaced"));
      return;
    }
    ++aQuestion->mFailures;
    AskLater(aQuestion);
    return;
  }
  mServices.mOwner.OnSettled(
    mKey, aQuestion->mExecutor, aResponse->mState, aResponse->mOutcome);
  switch (aResponse->mState) {
    case once::SettleState::Done:
      aQuestion->mHandler({ ResponseOf(*aResponse->mOutcome), {} });
      return;
    case once::SettleState::Fenced:
      aQuestion->mHandler(
        Failed(core::ErrorKind::PeerUnreachable,
               "the call did not arrive and will not run there"));
      return;
    case once::SettleState::Unknown:
      aQuestion->mHandler(
        Unknown("the call reached the backend server and gave no answer"));
      return;
    case once::SettleState::Running:
      break;
  }
  AskLater(aQuestion);
}

} // namespace nutmegrock::node
