#include "node/AtMostOnceGuard.h"

#include "once/Dispatch.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::node {

namespace {

/// Interval between queries about a dispatch that is still running.
constexpr std::chrono::milliseconds kQueryInterval(50);
/// Timeout of one query.
constexpr std::chrono::milliseconds kQueryTimeout(500);
/// Failed queries before the call ends with an unknown outcome. The caller can
/// repeat the call with its key.
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

AtMostOnceGuard::AtMostOnceGuard(const AtMostOnceDependencies& aDependencies,
                                 once::IdempotencyKey aKey)
  : mDependencies(aDependencies)
  , mKey(std::move(aKey))
{
}

AtMostOnceGuard::~AtMostOnceGuard()
{
  mDependencies.mOwner.End(mDependencies.mEnvironment.mNow(), mKey);
}

std::string
AtMostOnceGuard::OnSend(const routing::Choice& aChoice)
{
  mNumber =
    mDependencies.mOwner.OnDispatch(mKey, aChoice.mIncarnation, aChoice.mPeer);
  if (mNumber == 0) {
    return {};
  }
  return mDependencies.mOwner.TextOf(once::Dispatch{ mKey, mNumber });
}

void
AtMostOnceGuard::OnResult(const routing::Choice& aChoice,
                          core::TimePoint aDeadline,
                          transport::PeerResult aResult,
                          transport::PeerResultHandler aHandler)
{
  if (aResult.mResponse) {
    CaptureOutcome(
      std::move(*aResult.mResponse),
      [self = shared_from_this(),
       executor = aChoice.mIncarnation,
       feedback = aResult.mFeedback,
       handler = std::move(aHandler)](
        OutcomePtr aOutcome, core::Expected<transport::Response> aResponse) {
        self->mDependencies.mOwner.OnOutcome(
          self->mKey, executor, std::move(aOutcome));
        handler({ std::move(aResponse), feedback });
      });
    return;
  }
  if (aResult.mResponse.error().mRun == core::RunCertainty::NotRun) {
    mDependencies.mOwner.OnNotRun(mKey, aChoice.mIncarnation);
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
AtMostOnceGuard::Settle(core::Incarnation aExecutor,
                        const core::Address& aAddress,
                        std::uint32_t aNumber,
                        core::TimePoint aDeadline,
                        transport::PeerResultHandler aHandler)
{
  auto query = std::make_shared<Query>();
  query->mExecutor = aExecutor;
  query->mAddress = aAddress;
  query->mDispatch =
    mDependencies.mOwner.TextOf(once::Dispatch{ mKey, aNumber });
  query->mDeadline = aDeadline;
  query->mHandler = std::move(aHandler);
  SendQuery(query);
}

void
AtMostOnceGuard::SendQuery(const std::shared_ptr<Query>& aQuery)
{
  mDependencies.mSettle(
    aQuery->mAddress,
    aQuery->mExecutor,
    aQuery->mDispatch,
    mDependencies.mEnvironment.mNow() + kQueryTimeout,
    [self = shared_from_this(),
     aQuery](const core::Expected<once::SettleResponse>& aResponse) {
      self->OnSettled(aQuery, aResponse);
    });
}

void
AtMostOnceGuard::RetryQuery(const std::shared_ptr<Query>& aQuery)
{
  const core::TimePoint next =
    mDependencies.mEnvironment.mNow() + kQueryInterval;
  if (next >= aQuery->mDeadline || aQuery->mFailures >= kMaxFailures) {
    aQuery->mHandler(
      Unknown("the call was sent and its outcome is not known yet"));
    return;
  }
  mDependencies.mEnvironment.mSchedule(
    next, [self = shared_from_this(), aQuery] { self->SendQuery(aQuery); });
}

void
AtMostOnceGuard::OnSettled(
  const std::shared_ptr<Query>& aQuery,
  const core::Expected<once::SettleResponse>& aResponse)
{
  if (!aResponse) {
    if (aResponse.error().mKind == core::ErrorKind::WrongIncarnation) {
      mDependencies.mOwner.OnExecutorLost(mKey, aQuery->mExecutor);
      aQuery->mHandler(Unknown("the node that received the call was replaced"));
      return;
    }
    ++aQuery->mFailures;
    RetryQuery(aQuery);
    return;
  }
  mDependencies.mOwner.OnSettled(
    mKey, aQuery->mExecutor, aResponse->mState, aResponse->mOutcome);
  switch (aResponse->mState) {
    case once::SettleState::Done:
      aQuery->mHandler({ ResponseOf(*aResponse->mOutcome), {} });
      return;
    case once::SettleState::Fenced:
      aQuery->mHandler(
        Failed(core::ErrorKind::PeerUnreachable,
               "the call did not arrive at the node and will not run there"));
      return;
    case once::SettleState::Unknown:
      aQuery->mHandler(
        Unknown("the call reached the backend server and got no response"));
      return;
    case once::SettleState::Running:
      break;
  }
  RetryQuery(aQuery);
}

} // namespace nutmegrock::node
