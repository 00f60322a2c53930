#include "gateway/ServingCall.h"

#include "proxy/RequestText.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

constexpr double kThousandth = 0.001;
/// Time without progress after which a body counts as stalled. It covers two
/// retransmissions on a lossy link, so that a slow caller is not cut off.
constexpr std::chrono::milliseconds kBodyStallTime{ 1'000 };
/// Time after which a paused response counts as stalled. A pause ends when the
/// caller has read some 64 KB, so a caller that reads 0.5 Mbit/s is not cut
/// off.
constexpr std::chrono::milliseconds kResponseStallTime{ 1'000 };
/// Bytes of a body that count as progress, so that single bytes do not hold a
/// slot.
constexpr std::size_t kProgressBytes = std::size_t{ 4 } * 1024;
/// Status of a request that is meant for another server.
constexpr unsigned kWrongServer = 421;

} // namespace

ServingCall::ServingCall(Serving& aServing,
                         std::uint64_t aId,
                         PeerCall aCall,
                         proxy::RequestHead aHead,
                         std::weak_ptr<proxy::ResponseSink> aSink)
  : mServing(aServing)
  , mId(aId)
  , mCall(std::move(aCall))
  , mHead(std::move(aHead))
  , mSink(std::move(aSink))
  , mArrived(aServing.mComponents.mNow())
  , mDeadline(mArrived + mCall.mTimeRemaining)
  , mChain{ mCall.mRankPermille * kThousandth,
            mArrived + mCall.mFinishWithin,
            mCall.mRetryPermille * kThousandth }
{
}

overload::WorkItem
ServingCall::ItemFor(core::Duration aTypicalTime) const
{
  return { mId,
           mChain.mRank,
           mCall.mDemandRankPermille * kThousandth,
           std::min(mDeadline, mChain.mFinishBy),
           aTypicalTime,
           mDownstream };
}

proxy::ClientRequest
ServingCall::RequestFor(core::TimePoint aNow) const
{
  const auto& names = mServing.mComponents.mPool.Names();
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(core::Duration(0), mDeadline - aNow));
  proxy::ClientRequest request;
  request.mHead = proxy::RequestText(
    mHead,
    proxy::HeaderLine(names.mRequestId, mHead.mRequestId) +
      proxy::HeaderLine(names.mDeadlineMs, fmt::to_string(remaining.count())) +
      proxy::HeaderLine(names.mExpectedServer, mServing.mServer.Latest()->mId) +
      proxy::HeaderLine(names.mCallerService, mCall.mCallerService) +
      (mCall.mTenant.empty()
         ? std::string()
         : proxy::HeaderLine(names.mTenant, mCall.mTenant)));
  request.mRequestId = mHead.mRequestId;
  request.mFraming = mHead.mFraming;
  request.mIsHead = mHead.mMethod == "HEAD";
  return request;
}

void
ServingCall::Run()
{
  const core::TimePoint now = mServing.mComponents.mNow();
  mState = State::Running;
  mStarted = now;
  mBodyAt = now;
  mServerId = mServing.mServer.Latest()->mId;
  mServerStartedMs = mServing.mServer.Latest()->mStartedMs;
  mServing.mDirectRuns += mCall.mCallingNode == 0 ? 1 : 0;
  mServing.mComponents.mRuns.OnRun(now, mId, mCall.mRoute, mDeadline, mChain);
  mServing.mComponents.mRetryShares.OnRun(now, mChain.mRetryShare);
  proxy::ClientRequest request = RequestFor(now);
  request.mBody = std::exchange(mBody, {});
  request.mBodyComplete = mBodyEnded;
  mBackend = mServing.mComponents.mPool.Send(
    mServing.mServer.Latest()->mAddress, std::move(request), weak_from_this());
  OnRequestSent();
}

void
ServingCall::SendBody(std::string_view aBytes)
{
  mBodyProgress += aBytes.size();
  if (mBodyProgress >= kProgressBytes) {
    mBodyProgress = 0;
    mBodyAt = mServing.mComponents.mNow();
  }
  if (mBackend) {
    mBackend->SendBody(aBytes);
  } else if (mState == State::Waiting) {
    mBody += aBytes;
  }
}

void
ServingCall::EndBody()
{
  mBodyEnded = true;
  if (mBackend) {
    mBackend->EndBody();
  }
}

std::size_t
ServingCall::Unsent() const
{
  return mBackend ? mBackend->Unsent() : mBody.size();
}

bool
ServingCall::IsStalled(core::TimePoint aNow) const
{
  if (mState != State::Running) {
    return false;
  }
  const bool sends_nothing =
    !mBodyEnded && Unsent() == 0 && aNow - mBodyAt >= kBodyStallTime;
  const bool reads_nothing =
    mPausedAt && aNow - *mPausedAt >= kResponseStallTime;
  return sends_nothing || reads_nothing;
}

void
ServingCall::PauseResponse(bool aPaused)
{
  if (!aPaused) {
    mPausedAt.reset();
  } else if (!mPausedAt) {
    mPausedAt = mServing.mComponents.mNow();
  }
  if (mBackend && mState == State::Running) {
    mBackend->PauseResponse(aPaused);
  }
}

void
ServingCall::Cancel()
{
  mSink.reset();
  const auto self = shared_from_this();
  if (mBackend && (mState == State::Running || !mBodyEnded)) {
    mBackend->Cancel();
  }
  Release(false);
}

void
ServingCall::Release(bool aSucceeded)
{
  const State before = std::exchange(mState, State::Ended);
  if (before == State::Ended) {
    return;
  }
  const core::TimePoint now = mServing.mComponents.mNow();
  mServing.Remove(mId);
  if (before == State::Waiting) {
    mServing.mQueue.Remove(mId);
    return;
  }
  mServing.mDirectRuns -= mCall.mCallingNode == 0 ? 1 : 0;
  const double calls =
    mServing.mComponents.mRuns.OnRunEnd(now, mId, aSucceeded);
  if (!aSucceeded) {
    mServing.CountWastedCalls(mCall.mRoute, calls);
  }
  mServing.OnRunEnded(mCall.mRoute, now - mStarted, aSucceeded);
  mServing.Apply(mServing.mQueue.OnEnd(now, mDownstream));
}

void
ServingCall::Refuse(const core::Error& aError)
{
  const auto self = shared_from_this();
  const auto sink = mSink.lock();
  mSink.reset();
  Release(false);
  if (sink) {
    sink->OnResponseFailed(aError);
  }
}

void
ServingCall::Expire()
{
  if (mState == State::Waiting) {
    Refuse(core::MakeError(core::ErrorKind::QueueTimeout,
                           "the deadline passed before the call could start"));
    return;
  }
  if (mBackend) {
    mBackend->Cancel();
  }
  Refuse(core::MarkPossiblyRun(
    core::MakeError(core::ErrorKind::BackendTimeout, "no response in time")));
}

// The kind tells the entry node that neither the server nor a retry is at
// issue.
void
ServingCall::EndStalled()
{
  if (mBackend) {
    mBackend->Cancel();
  }
  Refuse(core::MarkPossiblyRun(
    core::MakeError(core::ErrorKind::QueueTimeout,
                    "the caller stalled while other calls waited for a slot")));
}

void
ServingCall::OnResponseHead(const proxy::ResponseHead& aHead)
{
  const auto sink = mSink.lock();
  if (!sink || mState != State::Running) {
    return;
  }
  if (!aHead.mLoad.empty()) {
    mServing.OnServerLoad(aHead.mLoad);
  }
  if (aHead.mStatus == kWrongServer) {
    mServing.OnContradicted(mServerId);
  } else if (aHead.IsSuccess() && aHead.mFromBackend) {
    mServing.OnAnswer(mServerId, mStarted);
  }
  mServing.OnServerState(
    mServerId, mServerStartedMs, aHead.mRateLimit, aHead.mLeaving);
  if (aHead.mNotRun) {
    mServing.mQueue.OnRefused(mServing.mComponents.mNow());
    mServing.mComponents.mRegistry
      .CounterOf("nutmegrock_backend_refused_total",
                 { { "status", fmt::to_string(aHead.mStatus) } })
      .Add();
    const core::Error error = core::MakeError(
      core::ErrorKind::BackendShed,
      fmt::format("the backend server returned status {}", aHead.mStatus));
    if (mBackend && !mBodyEnded) {
      mBackend->Cancel();
    }
    Refuse(error);
    return;
  }
  if (aHead.IsSuccess() && !aHead.mFromBackend) {
    mBackend->Cancel();
    Refuse(core::MarkPossiblyRun(
      core::MakeError(core::ErrorKind::BackendProtocol,
                      "a success response lacks the backend server header")));
    return;
  }
  mGoodStatus = aHead.mStatus < 500;
  proxy::ResponseHead head = aHead;
  PeerNote note = mServing.NoteFor(mCall.mRoute, mCall.mCostRequested);
  const auto milliseconds_of = [](core::Duration aTime) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aTime);
  };
  note.mQueueTime = milliseconds_of(mStarted - mArrived);
  note.mRunTime = milliseconds_of(mServing.mComponents.mNow() - mStarted);
  head.mPeerNote = Encode(note);
  sink->OnResponseHead(head);
}

void
ServingCall::OnResponseBody(std::string_view aBytes)
{
  const auto sink = mSink.lock();
  if (sink && mState == State::Running) {
    sink->OnResponseBody(aBytes);
  }
}

void
ServingCall::OnResponseEnd()
{
  const auto self = shared_from_this();
  if (mState != State::Running) {
    return;
  }
  const auto sink = mSink.lock();
  mSink.reset();
  Release(mGoodStatus);
  if (sink) {
    sink->OnResponseEnd();
  }
}

void
ServingCall::OnResponseFailed(const core::Error& aError)
{
  if (mState == State::Running) {
    Refuse(aError);
  }
}

void
ServingCall::OnRequestSent()
{
  if (const auto sink = mSink.lock()) {
    sink->OnRequestSent();
  }
}

} // namespace nutmegrock::gateway
