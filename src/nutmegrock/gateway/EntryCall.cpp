#include "gateway/EntryCall.h"

#include "core/Hash.h"
#include "gateway/TextFields.h"
#include "proxy/RequestText.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Maximum size of a request body kept for retries, in bytes.
constexpr std::size_t kMaxReplayBytes = std::size_t{ 192 } * 1024;
/// Retry-After value for refusals without a more specific one.
constexpr milliseconds kDefaultRetryAfter{ 250 };

milliseconds
ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

std::string
RetryAfterLine(milliseconds aDelay)
{
  return proxy::HeaderLine(
    "Retry-After",
    fmt::format("{:.3f}", std::chrono::duration<double>(aDelay).count()));
}

} // namespace

EntryCall::EntryCall(Entry& aEntry, proxy::ServerExchangePtr aExchange)
  : mEntry(aEntry)
  , mExchange(std::move(aExchange))
  , mArrived(aEntry.mComponents.mNow())
  , mDeadline(core::TimePoint::max())
{
}

void
EntryCall::Start()
{
  const auto self = shared_from_this();
  if (!FindRoute() || !FindTenant()) {
    return;
  }
  if (mEntry.mRefusing) {
    Fail(core::MakeError(core::ErrorKind::Draining, "this node is stopping"));
    return;
  }
  const overload::RouteCost* cost =
    mEntry.mComponents.mCosts.Find(mRoute->mName);
  // An unknown route may be a nested call of an admitted request, which must
  // not be refused.
  mNested = cost == nullptr || cost->mInternal.value_or(true);
  mInternal = cost != nullptr && cost->mInternal.value_or(false);
  SetDeadline();
  mHash = core::HashOf(mExchange->Head().mRequestId);
  mZone = mEntry.mPlacement.Place(
    mArrived,
    { mRoute->mName, mHash, mNested, mExchange->Head().mLength },
    mEntry.mSettings.mZone);
  if (mZone != mEntry.mSettings.mZone) {
    mEntry.mZoneFlowLog.CountMoved(mRoute->mName, mZone);
  }
  if (!Admit()) {
    return;
  }
  TakeAllowance();
}

void
EntryCall::Proceed()
{
  mService = mEntry.mSplitPicker.Pick(*mRoute);
  FindChain();
  mEntry.mAllowance.OnRequest(mArrived, mService, mChain.mRetryShare);
  // A caller that does not send its body must not hold a slot meanwhile.
  const proxy::RequestHead& head = mExchange->Head();
  mCollecting =
    !mBodyEnded &&
    (head.mFraming == proxy::BodyFraming::Chunked ||
     (head.mFraming == proxy::BodyFraming::Length && head.mLength > 0));
  if (!mCollecting) {
    SendAttempt();
  } else if (head.mFraming == proxy::BodyFraming::Length) {
    mReplay.reserve(std::min<std::size_t>(head.mLength, kMaxReplayBytes));
  }
}

void
EntryCall::StopCollecting()
{
  mCollecting = false;
  if (!mDone) {
    SendAttempt();
  }
}

PeerCall
EntryCall::PeerCallFor(core::TimePoint aNow) const
{
  const auto permille = [](double aValue) {
    return static_cast<std::uint32_t>(ToThousandths(aValue));
  };
  PeerCall call;
  call.mTarget = mChoice.mIncarnation;
  call.mService = mService;
  call.mCallerService = mEntry.mSettings.mService;
  call.mRoute = mRoute->mName;
  call.mTimeRemaining = ToMilliseconds(mDeadline - aNow);
  call.mRetryPermille = permille(mServersReached > 0 ? 1 : mChain.mRetryShare);
  call.mCostRequested =
    mEntry.mComponents.mCosts.ShouldRequest(aNow, mRoute->mName);
  call.mRankPermille = permille(mChain.mRank);
  call.mDemandRankPermille = permille(mDemandRank);
  call.mFinishWithin = ToMilliseconds(mChain.mFinishBy - aNow);
  call.mCallingNode = mInternal ? mEntry.mCallingNode : 0;
  call.mTenant = mTenant == nullptr ? "" : mTenant->mName;
  return call;
}

void
EntryCall::SendAttempt()
{
  const core::TimePoint now = mEntry.mComponents.mNow();
  const auto choice = mEntry.mRouter.Choose(
    now,
    mService,
    mHash,
    mZone,
    mTried,
    mEntry.mPlacement.PriceOf(mRoute->mName, mExchange->Head().mLength));
  if (!choice) {
    core::Error error = choice.error();
    // The service is in the routes but has no servers to try.
    error.mKind = core::ErrorKind::NoBackendServer;
    error.mRun = core::RunCertainty::NotRun;
    Fail(error);
    return;
  }
  mChoice = *choice;
  mAttemptStartedAt = now;
  mAttemptOpen = true;
  mAttemptQueueTime = core::Duration(0);
  mAttemptBytes = mReplay.size();
  mHasFeedback = false;
  mServerLeaving = false;
  mTried.push_back(choice->mIncarnation);
  mEntry.mRouter.OnStart(now, choice->mIncarnation, TypicalTime(now));
  const PeerCall call = PeerCallFor(now);
  mSink = std::make_shared<AttemptSink>(*this);
  ++mAttemptNumber;
  if (choice->mIncarnation == mEntry.mSettings.mSelf) {
    SendToSelf(call);
  } else {
    SendToPeer(call);
  }
}

// Routes of one service take different times. A call of a route whose time is
// not known yet may take all the time that is left.
core::Duration
EntryCall::TypicalTime(core::TimePoint aNow) const
{
  const overload::RouteCost* cost =
    mEntry.mComponents.mCosts.Find(mRoute->mName);
  const double seconds = cost == nullptr ? 0 : cost->SlotSecondsAt(mService);
  return seconds > 0 ? std::chrono::duration_cast<core::Duration>(
                         std::chrono::duration<double>(seconds))
                     : mDeadline - aNow;
}

// The sink may be called before Start() returns, and the next attempt may have
// started by then.
void
EntryCall::SendToSelf(const PeerCall& aCall)
{
  const std::uint64_t number = mAttemptNumber;
  auto attempt = mEntry.mServing.Start(aCall, mExchange->Head(), mSink);
  if (!mAttemptOpen || mAttemptNumber != number) {
    return;
  }
  mAttempt = std::move(attempt);
  if (!mReplay.empty()) {
    mAttempt->SendBody(mReplay);
  }
  if (mBodyEnded) {
    mAttempt->EndBody();
  }
}

void
EntryCall::SendToPeer(const PeerCall& aCall)
{
  const proxy::RequestHead& head = mExchange->Head();
  const auto& names = mEntry.mComponents.mPool.Names();
  proxy::ClientRequest request;
  request.mHead = proxy::RequestText(
    head,
    proxy::HeaderLine(names.mRequestId, head.mRequestId) +
      proxy::HeaderLine(proxy::kPeerCallHeader, Encode(aCall)));
  mAttemptBytes += request.mHead.size();
  request.mRequestId = head.mRequestId;
  request.mFraming = head.mFraming;
  request.mIsHead = head.mMethod == "HEAD";
  request.mBody = mReplay;
  request.mBodyComplete = mBodyEnded;
  core::Address address = mChoice.mPeer;
  address.mPort = mEntry.mSettings.mPeerPort;
  mAttempt = mEntry.mComponents.mPool.Send(address, std::move(request), mSink);
}

void
EntryCall::OnRequestBody(std::string_view aBytes)
{
  const auto self = shared_from_this();
  const bool fits = mReplay.size() + aBytes.size() <= kMaxReplayBytes;
  if (mCollecting && !fits) {
    StopCollecting();
  }
  if (mReplayable && !mDone) {
    const proxy::BufferBudget* buffers = mEntry.mComponents.mBuffers;
    const bool tight = buffers != nullptr && buffers->IsTight();
    if (fits && (mCollecting || mWaitsForToken || !tight)) {
      mReplay += aBytes;
    } else {
      mReplayable = false;
      mReplay.clear();
      mReplay.shrink_to_fit();
    }
  }
  if (mAttempt) {
    mAttemptBytes += aBytes.size();
    mExchange->PassBody(*mAttempt, aBytes);
  } else if (mWaitsForToken) {
    PauseWhileWaiting();
  }
}

void
EntryCall::OnRequestEnd()
{
  mBodyEnded = true;
  if (mCollecting) {
    StopCollecting();
  } else if (mAttempt) {
    mAttempt->EndBody();
  }
}

std::size_t
EntryCall::HeldBytes() const
{
  return mReplay.capacity() + mBuffered.capacity() +
         (mAttempt ? mAttempt->Unsent() : 0);
}

void
EntryCall::OnRequestSent()
{
  if (mAttempt && mAttempt->Unsent() <= proxy::kMaxUnsent) {
    mExchange->PauseBody(false);
  }
}

void
EntryCall::OnResponseSent()
{
  if (mAttempt && mStreaming && mExchange->Unsent() <= proxy::kMaxUnsent) {
    mAttempt->PauseResponse(false);
  }
}

void
EntryCall::OnDisconnect()
{
  if (mAttempt) {
    mAttempt->Cancel();
  }
  EndAttempt(routing::AttemptOutcome::Cancelled);
  if (!mDone) {
    mEntry.mComponents.mRegistry
      .CounterOf("nutmegrock_caller_gone_total",
                 { { "from", std::string(CallerKind()) } })
      .Add();
  }
  Finish();
}

void
EntryCall::Expire()
{
  EndWith(core::MakeError(core::ErrorKind::DeadlineExceeded,
                          "no response within the time limit"),
          routing::AttemptOutcome::TimedOut);
}

void
EntryCall::EndForStop()
{
  EndWith(core::MakeError(core::ErrorKind::Draining,
                          "this node exits before the response"),
          routing::AttemptOutcome::Cancelled);
}

void
EntryCall::EndWith(core::Error aError, routing::AttemptOutcome aOutcome)
{
  if (mDone) {
    return;
  }
  if (mAttempt) {
    mAttempt->Cancel();
    mAttempt.reset();
  }
  const bool sent = mAttemptOpen;
  EndAttempt(aOutcome);
  Fail(sent || mPossiblyRun ? core::MarkPossiblyRun(std::move(aError))
                            : aError);
}

void
EntryCall::EndAttempt(routing::AttemptOutcome aOutcome)
{
  if (!mAttemptOpen) {
    return;
  }
  mAttemptOpen = false;
  if (aOutcome != routing::AttemptOutcome::Unavailable &&
      aOutcome != routing::AttemptOutcome::Refused) {
    // The request may have run.
    mTokenUntil.reset();
  }
  mEntry.mZoneTraffic.Count(
    mService, mChoice.mZone != mEntry.mSettings.mZone, mAttemptBytes);
  const core::TimePoint now = mEntry.mComponents.mNow();
  const bool healthy = aOutcome == routing::AttemptOutcome::Ok;
  const bool has_failed = aOutcome == routing::AttemptOutcome::Failed ||
                          aOutcome == routing::AttemptOutcome::TimedOut;
  if (has_failed || healthy) {
    mEntry.mPlacement.OnAttempt(
      now, mRoute->mName, mChoice.mZone, mAttemptBytes, has_failed);
  }
  mEntry.mRouter.OnEnd(
    now,
    mChoice.mIncarnation,
    healthy && mServerLeaving ? routing::AttemptOutcome::Unavailable : aOutcome,
    now - mAttemptStartedAt,
    mHasFeedback ? &mFeedback : nullptr,
    mAttemptQueueTime);
}

bool
EntryCall::ShouldRetry(const core::Error& aError, bool aReachedServer)
{
  const bool can_run_again =
    mRoute->IsIdempotent() ||
    (aError.mRun == core::RunCertainty::NotRun && !mPossiblyRun);
  // The time that is left is sent in whole milliseconds, so the deadline of a
  // serving node may be that much earlier.
  const bool is_late = mEntry.mComponents.mNow() + milliseconds(1) >= mDeadline;
  if (!can_run_again || !mReplayable || is_late) {
    return false;
  }
  // Attempts that reached no backend server are limited by the number of
  // servers, because each is tried once.
  if (mServersReached >= mRoute->mMaxAttempts || mTried.size() >= 8) {
    return false;
  }
  if (aError.mKind == core::ErrorKind::QueueTimeout) {
    return false;
  }
  const bool allowed =
    !aReachedServer ||
    mEntry.mAllowance.Take(mEntry.mComponents.mNow(), mService);
  mEntry.mComponents.mRegistry
    .CounterOf("nutmegrock_retry_total",
               { { "reason", std::string(core::RowOf(aError.mKind).mName) },
                 { "decision", allowed ? "sent" : "allowance_spent" } })
    .Add();
  return allowed;
}

void
EntryCall::Retry()
{
  mSink.reset();
  mAttempt.reset();
  SendAttempt();
}

std::chrono::milliseconds
EntryCall::DefaultRetryAfter(core::ErrorKind aKind) const
{
  const bool overloaded = aKind == core::ErrorKind::QueueFull ||
                          aKind == core::ErrorKind::QueueTimeout;
  return overloaded && mRoute != nullptr && !mNested
           ? overload::RetryDelay(mRoute->mLatencyObjective, mHash)
           : kDefaultRetryAfter;
}

void
EntryCall::Fail(const core::Error& aError)
{
  if (mDone) {
    return;
  }
  if (mStreaming) {
    AbortResponse(aError);
    return;
  }
  core::Error error = mPossiblyRun ? core::MarkPossiblyRun(aError) : aError;
  unsigned status = core::RowOf(error.mKind).mStatus;
  const bool client_fault = status >= 400 && status < 500;
  if (!client_fault) {
    if (error.mRun == core::RunCertainty::NotRun) {
      status = 503;
    } else if (error.mKind == core::ErrorKind::DeadlineExceeded ||
               error.mKind == core::ErrorKind::BackendTimeout) {
      status = 504;
    } else {
      status = 502;
    }
  }
  const std::string reason(core::RowOf(error.mKind).mName);
  std::string lines = proxy::HeaderLine("Content-Type", "text/plain");
  if (!mExchange->Head().mRequestId.empty()) {
    lines += proxy::HeaderLine(mEntry.mComponents.mPool.Names().mRequestId,
                               mExchange->Head().mRequestId);
  }
  if (status == 503 || error.mKind == core::ErrorKind::AllowanceExceeded) {
    if (error.mRetryAfter.count() <= 0) {
      error.mRetryAfter = DefaultRetryAfter(error.mKind);
    }
    lines += RetryAfterLine(error.mRetryAfter);
  } else if (error.mKind == core::ErrorKind::Unauthorized) {
    lines += proxy::HeaderLine("WWW-Authenticate",
                               mEntry.mComponents.mPool.Names().mKeyScheme);
  }
  mEntry.mComponents.mRegistry
    .CounterOf("nutmegrock_entry_refused_total",
               { { "route", mRoute == nullptr ? "" : mRoute->mName },
                 { "reason", reason },
                 { "from", std::string(CallerKind()) } })
    .Add();
  if (mEntry.mComponents.mLog.ShouldLogRequest(mEntry.mComponents.mNow())) {
    LogEnd(status, reason + ": " + error.mMessage);
  }
  mExchange->SendResponse(status, lines, reason + "\n");
  Finish();
}

void
EntryCall::AbortResponse(const core::Error& aError)
{
  const std::string reason(core::RowOf(aError.mKind).mName);
  mEntry.mComponents.mRegistry
    .CounterOf("nutmegrock_response_aborted_total",
               { { "route", mRoute->mName },
                 { "reason", reason },
                 { "from", std::string(CallerKind()) } })
    .Add();
  if (mEntry.mComponents.mLog.ShouldLogRequest(mEntry.mComponents.mNow())) {
    LogEnd(mHead.mStatus, "response ended early, " + reason);
  }
  mExchange->Abort();
  Finish();
}

void
EntryCall::LogEnd(unsigned aStatus, std::string_view aReason)
{
  const core::TimePoint now = mEntry.mComponents.mNow();
  mEntry.mComponents.mLog.LogRequest(fmt::format(
    "event=request id={} from={} route={} tenant={} service={} "
    "routes_version={} "
    "status={} reason=\"{}\" attempts={} zone={} last_server={} "
    "last_load_permille={} "
    "elapsed_ms={} time_ms={} rank={:.3f} retries_left={:.0f}",
    mExchange->Head().mRequestId,
    CallerKind(),
    mRoute == nullptr ? "-" : mRoute->mName,
    mTenant == nullptr ? "-" : mTenant->mName,
    mService.empty() ? "-" : mService,
    mRoutes ? mRoutes->Version() : 0,
    aStatus,
    aReason,
    mTried.size(),
    mZone.empty() ? "-" : mZone,
    mTried.empty() ? "-" : mTried.back().ToString(),
    mFeedback.mLoadPermille,
    ToMilliseconds(now - mArrived).count(),
    mDeadline == core::TimePoint::max()
      ? 0
      : ToMilliseconds(mDeadline - mArrived).count(),
    mChain.mRank,
    mService.empty() ? 0.0 : mEntry.mAllowance.Remaining(now, mService)));
}

void
EntryCall::Finish()
{
  if (mDone) {
    return;
  }
  mDone = true;
  ReturnToken();
  if (mParent && mParent->mIdentified) {
    mEntry.mComponents.mRuns.OnCallEnd(mEntry.mComponents.mNow(),
                                       mParent->mRun);
  }
  mReplay.clear();
  mBuffered.clear();
  mEntry.Remove(this);
}

} // namespace nutmegrock::gateway
