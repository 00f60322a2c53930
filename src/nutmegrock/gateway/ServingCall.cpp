#include "gateway/ServingCall.h"

#include "proxy/RequestText.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::gateway {

ServingCall::ServingCall(Serving& aServing,
                         std::uint64_t aId,
                         PeerCall aCall,
                         proxy::RequestHead aHead,
                         std::weak_ptr<proxy::AnswerSink> aSink)
  : mServing(aServing)
  , mId(aId)
  , mCall(std::move(aCall))
  , mHead(std::move(aHead))
  , mSink(std::move(aSink))
  , mArrived(aServing.mParts.mNow())
  , mDue(mArrived + mCall.mObjectiveLeft)
  , mDeadline(mArrived + mCall.mTimeLeft)
{
}

overload::WorkItem
ServingCall::ItemFor(core::Duration aUsualTime) const
{
  return { mId, mDue, mDeadline, aUsualTime };
}

proxy::ClientRequest
ServingCall::RequestFor(core::TimePoint aNow) const
{
  const auto& names = mServing.mParts.mPool.Names();
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::max(core::Duration(0), mDeadline - aNow));
  proxy::ClientRequest request;
  request.mHead = proxy::RequestText(
    mHead,
    proxy::HeaderLine(names.mRequestId, mHead.mRequestId) +
      proxy::HeaderLine(names.mDeadlineMs, fmt::to_string(left.count())) +
      proxy::HeaderLine(names.mExpectedServer, mServing.mServer.Latest()->mId) +
      proxy::HeaderLine(names.mCallerService, mCall.mCallerService));
  request.mRequestId = mHead.mRequestId;
  request.mFraming = mHead.mFraming;
  request.mIsHead = mHead.mMethod == "HEAD";
  return request;
}

void
ServingCall::Run()
{
  const core::TimePoint now = mServing.mParts.mNow();
  mState = State::Running;
  mStarted = now;
  mServing.mParts.mGraph.OnRun(now, mCall.mRoute);
  constexpr double kThousandth = 0.001;
  mServing.mParts.mRepeats.OnRun(now, mCall.mRepeatPermille * kThousandth);
  proxy::ClientRequest request = RequestFor(now);
  request.mBody = std::exchange(mBody, {});
  request.mBodyComplete = mBodyEnded;
  mBackend = mServing.mParts.mPool.Send(
    mServing.mServer.Latest()->mAddress, std::move(request), weak_from_this());
  OnRequestSent();
}

void
ServingCall::SendBody(std::string_view aBytes)
{
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

void
ServingCall::PauseAnswer(bool aPaused)
{
  if (mBackend && mState == State::Running) {
    mBackend->PauseAnswer(aPaused);
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
  Leave(false);
}

void
ServingCall::Leave(bool aGood)
{
  const State before = std::exchange(mState, State::Ended);
  if (before == State::Ended) {
    return;
  }
  const core::TimePoint now = mServing.mParts.mNow();
  mServing.Remove(mId);
  if (before == State::Waiting) {
    mServing.mQueue.Withdraw(mId);
    return;
  }
  mServing.OnRunEnded(mCall.mRoute, now - mStarted, aGood);
  mServing.Apply(mServing.mQueue.OnEnd(now));
}

void
ServingCall::Refuse(const core::Error& aError)
{
  const auto self = shared_from_this();
  const auto sink = mSink.lock();
  mSink.reset();
  Leave(false);
  if (sink) {
    sink->OnAnswerFailed(aError);
  }
}

void
ServingCall::Expire()
{
  if (mState == State::Waiting) {
    Refuse(core::MakeError(core::ErrorKind::QueueTimeout,
                           "the time was over before the call could start"));
    return;
  }
  if (mBackend) {
    mBackend->Cancel();
  }
  Refuse(core::PossiblyRun(
    core::MakeError(core::ErrorKind::BackendTimeout, "no answer in time")));
}

void
ServingCall::OnAnswerHead(const proxy::AnswerHead& aHead)
{
  const auto sink = mSink.lock();
  if (!sink || mState != State::Running) {
    return;
  }
  if (!aHead.mLoad.empty()) {
    mServing.OnServerLoad(aHead.mLoad);
  }
  if (aHead.mNotRun) {
    mServing.mParts.mRegistry
      .CounterOf("nutmegrock_backend_refused_total",
                 { { "status", fmt::to_string(aHead.mStatus) } })
      .Add();
    const core::Error error = core::MakeError(
      core::ErrorKind::BackendShed,
      fmt::format("the backend server answered {}", aHead.mStatus));
    if (mBackend && !mBodyEnded) {
      mBackend->Cancel();
    }
    Refuse(error);
    return;
  }
  if (aHead.IsSuccess() && !aHead.mSealed) {
    mBackend->Cancel();
    Refuse(core::PossiblyRun(
      core::MakeError(core::ErrorKind::BackendProtocol,
                      "a success came without the mark of a backend server")));
    return;
  }
  mGoodStatus = aHead.mStatus < 500;
  proxy::AnswerHead head = aHead;
  PeerNote note = mServing.NoteFor(mCall.mRoute, mCall.mWantsCost);
  note.mWaited =
    std::chrono::duration_cast<std::chrono::milliseconds>(mStarted - mArrived);
  head.mPeerNote = Encode(note);
  sink->OnAnswerHead(head);
}

void
ServingCall::OnAnswerBody(std::string_view aBytes)
{
  const auto sink = mSink.lock();
  if (sink && mState == State::Running) {
    sink->OnAnswerBody(aBytes);
  }
}

void
ServingCall::OnAnswerEnd()
{
  const auto self = shared_from_this();
  if (mState != State::Running) {
    return;
  }
  const auto sink = mSink.lock();
  mSink.reset();
  Leave(mGoodStatus);
  if (sink) {
    sink->OnAnswerEnd();
  }
}

void
ServingCall::OnAnswerFailed(const core::Error& aError)
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
