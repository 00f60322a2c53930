#include "gateway/EntryCall.h"

#include "core/Hash.h"
#include "proxy/MessageText.h"

#include <algorithm>
#include <utility>

// The responses to attempts.

namespace nutmegrock::gateway {

namespace {

/// A response up to this size, in bytes, is forwarded when it is complete, so
/// that one that ends early can still be replaced by a retry.
constexpr std::size_t kMaxBufferedBytes = std::size_t{ 64 } * 1024;
/// Error responses are retried only within this initial share of the time
/// limit.
constexpr double kReplaceableShare = 0.4;

/// Work that the server finishes per second, relative to its slots.
double
SpeedOf(const PeerNote& aNote)
{
  constexpr double kPercent = 100;
  return kPercent / std::max(1U, aNote.mWorkPercent);
}

} // namespace

void
EntryCall::ApplyNote(const PeerNote& aNote)
{
  constexpr double kPermille = 1000;
  const core::TimePoint now = mEntry.mComponents.mNow();
  mHasFeedback = true;
  const auto permille = [](double aShare) {
    return static_cast<std::uint32_t>(std::min(aShare, 1e3) * kPermille);
  };
  mFeedback.mLoadPermille = permille(aNote.mLoad);
  mFeedback.mOccupancyPermille = permille(aNote.mOccupancy);
  mFeedback.mWorkPercent = aNote.mWorkPercent;
  mFeedback.mWorkKind = core::HashOf(mRoute->mName);
  mFeedback.mRunTime = aNote.mRunTime;
  mServerLeaving = aNote.mLeaving;
  mAttemptQueueTime = aNote.mQueueTime;
  mEntry.mComponents.mLoads.OnServerLoad(now,
                                         { mService,
                                           mChoice.mZone,
                                           mChoice.mIncarnation,
                                           aNote.mLoad,
                                           aNote.mCutoff,
                                           1,
                                           SpeedOf(aNote) });
  for (const DownstreamCutoff& downstream : aNote.mDownstream) {
    mEntry.mComponents.mLoads.OnServerLoad(
      now,
      { overload::NameOfCalls(mService, downstream.mService),
        mChoice.mZone,
        mChoice.mIncarnation,
        0,
        downstream.mCutoff,
        downstream.mRate });
  }
  if (mNested) {
    mEntry.mComponents.mDownstream.OnResponse(
      now,
      { mService,
        mChoice.mIncarnation,
        aNote.mWindow,
        now - mAttemptStartedAt - aNote.mQueueTime,
        aNote.mRunTime,
        aNote.mQueueTime });
  }
  for (const overload::LoadReport& report : aNote.mLoads) {
    mEntry.mComponents.mLoads.OnReport(now, report);
  }
  if (aNote.mRouteVersion > mRoutes->Version()) {
    mEntry.mComponents.mOnVersionSeen(mChoice.mPeer, aNote.mRouteVersion);
  }
  if (aNote.mCost) {
    mEntry.mComponents.mCosts.Learn(mRoute->mName, *aNote.mCost);
  }
}

void
EntryCall::OnResponseHead(const proxy::ResponseHead& aHead)
{
  if (mDone || !mAttemptOpen) {
    return;
  }
  const auto self = shared_from_this();
  mAttemptBytes += aHead.mHeaderLines.size() + aHead.mPeerNote.size();
  const auto note = DecodePeerNote(aHead.mPeerNote);
  if (!note) {
    if (mAttempt) {
      mAttempt->Cancel();
    }
    OnResponseFailed(core::MarkPossiblyRun(note.error()));
    return;
  }
  ApplyNote(*note);
  if (note->mError) {
    if (mAttempt && !mBodyEnded) {
      mAttempt->Cancel();
    }
    OnResponseFailed(*note->mError);
    return;
  }
  ++mServersReached;
  mPossiblyRun = true;
  if (ShouldReplace(aHead)) {
    mEntry.OnOutcome(mRoute->mName, true);
    if (mAttempt && !mBodyEnded) {
      mAttempt->Cancel();
    }
    EndAttempt(routing::AttemptOutcome::Failed);
    Retry();
    return;
  }
  mHead = aHead;
  mHead.mPeerNote.clear();
  mStreaming = aHead.mFraming == proxy::BodyFraming::Length &&
               aHead.mLength > kMaxBufferedBytes;
  if (mStreaming) {
    ForwardHead();
  }
}

bool
EntryCall::ShouldReplace(const proxy::ResponseHead& aHead)
{
  if (aHead.mStatus < 500 || aHead.mStatus == 504 || !mRoute->IsIdempotent() ||
      !mEntry.IsFailureRare(mRoute->mName)) {
    return false;
  }
  const auto elapsed = mEntry.mComponents.mNow() - mArrived;
  if (elapsed > kReplaceableShare * (mDeadline - mArrived)) {
    return false;
  }
  return ShouldRetry(core::MakeError(core::ErrorKind::BackendFailed,
                                     "the backend server failed"),
                     true);
}

void
EntryCall::OnResponseBody(std::string_view aBytes)
{
  if (mDone || !mAttemptOpen) {
    return;
  }
  mAttemptBytes += aBytes.size();
  if (!mStreaming) {
    mBuffered += aBytes;
    if (mBuffered.size() <= kMaxBufferedBytes) {
      return;
    }
    mStreaming = true;
    ForwardHead();
    mExchange->SendBody(std::exchange(mBuffered, {}));
  } else {
    mExchange->SendBody(aBytes);
  }
  if (mAttempt && mExchange->Unsent() > proxy::kMaxUnsent) {
    mAttempt->PauseResponse(true);
  }
}

void
EntryCall::OnResponseEnd()
{
  if (mDone || !mAttemptOpen) {
    return;
  }
  const auto self = shared_from_this();
  EndAttempt(mHead.mStatus >= 500 ? routing::AttemptOutcome::Failed
                                  : routing::AttemptOutcome::Ok);
  if (mBodyEnded) {
    mAttempt.reset();
  }
  mEntry.OnOutcome(mRoute->mName, mHead.mStatus >= 500);
  mEntry.CountResponse(mRoute->mName, mHead.mStatus);
  DecisionLog& log = mEntry.mComponents.mLog;
  if (mHead.mStatus >= 500 ? log.ShouldLogRequest(mEntry.mComponents.mNow())
                           : log.IsSample()) {
    LogEnd(mHead.mStatus, "answer of the backend server");
  }
  if (mStreaming) {
    mExchange->End();
  } else {
    SendBufferedResponse();
  }
  Finish();
}

void
EntryCall::ForwardHead()
{
  mExchange->SendHead(
    mHead,
    proxy::HeaderLine(mEntry.mComponents.mPool.Names().mRequestId,
                      mExchange->Head().mRequestId));
}

void
EntryCall::SendBufferedResponse()
{
  if (mExchange->Head().mMethod != "HEAD") {
    mHead.mFraming = proxy::BodyFraming::Length;
    mHead.mLength = mBuffered.size();
  }
  ForwardHead();
  mExchange->SendBody(mBuffered);
  mExchange->End();
}

void
EntryCall::OnResponseFailed(const core::Error& aError)
{
  if (mDone || !mAttemptOpen) {
    return;
  }
  const auto self = shared_from_this();
  const bool not_run = aError.mRun == core::RunCertainty::NotRun;
  using Kind = core::ErrorKind;
  routing::AttemptOutcome outcome = routing::AttemptOutcome::Failed;
  if (aError.mKind == Kind::Draining || aError.mKind == Kind::NotReady ||
      aError.mKind == Kind::WrongIncarnation) {
    outcome = routing::AttemptOutcome::Unavailable;
  } else if (aError.mKind == Kind::QueueFull ||
             aError.mKind == Kind::QueueTimeout) {
    outcome = routing::AttemptOutcome::Refused;
  } else if (aError.mKind == Kind::BackendTimeout) {
    outcome = routing::AttemptOutcome::TimedOut;
  }
  EndAttempt(outcome);
  // A refusal by the backend server itself means that the request reached it.
  const bool reached_server = !not_run || aError.mKind == Kind::BackendShed;
  mServersReached += reached_server ? 1 : 0;
  mPossiblyRun = mPossiblyRun || !not_run;
  if (mStreaming) {
    AbortResponse(aError);
    return;
  }
  mBuffered.clear();
  if (ShouldRetry(aError, reached_server)) {
    Retry();
    return;
  }
  Fail(aError);
}

} // namespace nutmegrock::gateway
