#include "node/ServingSide.h"

#include "node/CallerHeaders.h"
#include "node/OutcomeResponse.h"
#include "transport/BodyTap.h"

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::node {

namespace {

constexpr unsigned kUnavailable = 503;

limits::CallOutcomeKind
EndOf(const core::Error& aError)
{
  switch (aError.mKind) {
    case core::ErrorKind::Cancelled:
      return limits::CallOutcomeKind::Cancelled;
    case core::ErrorKind::BackendTimeout:
    case core::ErrorKind::DeadlineExceeded:
      return limits::CallOutcomeKind::TimedOut;
    case core::ErrorKind::BackendShed:
      return limits::CallOutcomeKind::Shed;
    default:
      return limits::CallOutcomeKind::Failed;
  }
}

/// Returns true if the backend server shed the call. After a nested call the
/// server has worked on it, and the header may only repeat the response to the
/// nested call.
bool
IsShed(const transport::ResponseHead& aHead, const ActiveCall& aCall)
{
  if (aCall.HasNestedCalls()) {
    return false;
  }
  const std::string* run = transport::FindHeader(aHead.mHeaders, kRunHeader);
  return aHead.mStatus == kUnavailable && run != nullptr &&
         *run == core::NameOf(core::RunCertainty::NotRun);
}

void
AddCallHeaders(transport::CallHead& aHead,
               const ActiveCall& aCall,
               core::TimePoint aNow)
{
  const core::CallContext& context = aCall.Context();
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
    context.mDeadline - aNow);
  aHead.mHeaders.push_back({ std::string(kCallHeader), aCall.Token() });
  aHead.mHeaders.push_back(
    { std::string(kRequestHeader), context.mRequest.ToString() });
  aHead.mHeaders.push_back(
    { std::string(kDeadlineHeader), std::to_string(remaining.count()) });
  aHead.mHeaders.push_back({ std::string(kProfileHeader), context.mProfile });
}

} // namespace

core::Expected<std::shared_ptr<ServingSide>>
ServingSide::Create(ServingSettings aSettings,
                    Environment aEnvironment,
                    ActiveCalls& aCalls,
                    transport::BackendClient& aBackend,
                    once::ExecutionLedger& aLedger,
                    metrics::Registry& aRegistry)
{
  auto admission = limits::Admission::Create(aSettings.mAdmission);
  if (!admission) {
    return tl::make_unexpected(admission.error());
  }
  return std::shared_ptr<ServingSide>(new ServingSide(std::move(aSettings),
                                                      std::move(aEnvironment),
                                                      aCalls,
                                                      aBackend,
                                                      aLedger,
                                                      aRegistry,
                                                      std::move(*admission)));
}

ServingSide::ServingSide(ServingSettings aSettings,
                         Environment aEnvironment,
                         ActiveCalls& aCalls,
                         transport::BackendClient& aBackend,
                         once::ExecutionLedger& aLedger,
                         metrics::Registry& aRegistry,
                         limits::Admission aAdmission)
  : mSettings(std::move(aSettings))
  , mEnvironment(std::move(aEnvironment))
  , mCalls(aCalls)
  , mBackend(aBackend)
  , mLedger(aLedger)
  , mRegistry(aRegistry)
  , mAdmission(std::move(aAdmission))
{
}

core::Expected<bool>
ServingSide::CheckAcceptable(const transport::PeerCall& aCall) const
{
  if (aCall.mService != mSettings.mService) {
    return core::Fail(core::ErrorKind::WrongIncarnation,
                      fmt::format("this node serves \"{}\", not \"{}\"",
                                  mSettings.mService,
                                  aCall.mService));
  }
  switch (mState.load()) {
    case ServerState::Starting:
      return core::Fail(core::ErrorKind::NotReady,
                        "the backend server has not announced itself");
    case ServerState::Draining:
      return core::Fail(core::ErrorKind::Draining,
                        "the backend server is draining");
    case ServerState::Serving:
      break;
  }
  if (aCall.mContext.mDeadline <= mEnvironment.mNow()) {
    return core::Fail(core::ErrorKind::DeadlineExceeded,
                      "the deadline passed before admission");
  }
  return true;
}

void
ServingSide::Handle(transport::PeerCall aCall,
                    transport::PeerResultHandler aHandler)
{
  auto call = std::make_shared<ServingCall>(std::move(aCall));
  call->mId = mNextId++;
  call->mArrived = mEnvironment.mNow();
  call->mActive = std::make_shared<ActiveCall>(
    call->mCall.mContext,
    fmt::format("{:x}-{:016x}", call->mId, mEnvironment.mRandom()),
    call->mCall.mCall.mCancellation);
  call->mHandler = std::move(aHandler);
  auto acceptable = CheckAcceptable(call->mCall);
  if (acceptable) {
    acceptable = Claim(call);
  }
  if (!acceptable) {
    Refuse(call, acceptable.error());
    return;
  }
  if (!mSettings.mAdmissionEnabled) {
    {
      const std::lock_guard lock(mMutex);
      mPending.emplace(call->mId, call);
    }
    Start(call);
    return;
  }
  Admit(call);
}

core::Expected<bool>
ServingSide::Claim(const ServingCallPtr& aCall)
{
  const std::string& key = aCall->mCall.mContext.mKey;
  if (key.empty()) {
    return true;
  }
  auto dispatch = once::Dispatch::Parse(key, mSettings.mSecret);
  if (!dispatch) {
    return tl::make_unexpected(dispatch.error());
  }
  if (!mLedger.TryStart(aCall->mArrived, *dispatch)) {
    return core::Fail(core::ErrorKind::QueueFull,
                      "the key cannot be started at this node");
  }
  aCall->mDispatch = std::move(*dispatch);
  return true;
}

void
ServingSide::Admit(const ServingCallPtr& aCall)
{
  const core::CallContext& context = aCall->mCall.mContext;
  limits::AdmissionResult result;
  {
    const std::lock_guard lock(mMutex);
    mPending.emplace(aCall->mId, aCall);
    result = mAdmission.Offer(aCall->mArrived,
                              { aCall->mId,
                                context.mImportance,
                                context.mRequest.CohortOf(),
                                context.mDepth,
                                context.mDeadline,
                                context.mMaxWait });
  }
  Apply(result);
  if (aCall->mCall.mCall.mCancellation != nullptr) {
    aCall->mCall.mCall.mCancellation->OnCancel(
      [weak = weak_from_this(), id = aCall->mId] {
        if (const auto self = weak.lock()) {
          self->OnCancel(id);
        }
      });
  }
  ScheduleTick();
}

void
ServingSide::OnCancel(std::uint64_t aId)
{
  limits::AdmissionResult result;
  {
    const std::lock_guard lock(mMutex);
    result = mAdmission.Cancel(mEnvironment.mNow(), aId);
  }
  Apply(result);
}

void
ServingSide::Apply(const limits::AdmissionResult& aResult)
{
  for (const limits::Refusal& refusal : aResult.mRefused) {
    if (const ServingCallPtr call = Take(refusal.mId)) {
      core::Error error = core::MakeError(
        refusal.mKind,
        fmt::format("refused by a node of \"{}\"", mSettings.mService));
      // A queued call has not reached the backend server.
      error.mRun = core::RunCertainty::NotRun;
      error.mRetryAfter = refusal.mRetryAfter;
      Refuse(call, std::move(error));
    }
  }
  for (const std::uint64_t id : aResult.mToStart) {
    if (const ServingCallPtr call = Find(id)) {
      Start(call);
    }
  }
}

void
ServingSide::Tick()
{
  limits::AdmissionResult result;
  {
    const std::lock_guard lock(mMutex);
    mNextTick = core::TimePoint::max();
    result = mAdmission.Tick(mEnvironment.mNow());
  }
  Apply(result);
  ScheduleTick();
}

void
ServingSide::ScheduleTick()
{
  core::TimePoint due;
  {
    const std::lock_guard lock(mMutex);
    due = mAdmission.NextTick(mEnvironment.mNow());
    if (due == core::TimePoint::max() || due >= mNextTick) {
      return;
    }
    mNextTick = due;
  }
  mEnvironment.mSchedule(due, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->Tick();
    }
  });
}

void
ServingSide::Start(const ServingCallPtr& aCall)
{
  aCall->mStarted = mEnvironment.mNow();
  mCalls.Add(aCall->mActive);
  const auto waited = core::ToMicros(aCall->mStarted - aCall->mArrived);
  mRegistry
    .SummaryOf("nutmegrock_queue_time_us",
               { { "profile", aCall->mCall.mContext.mProfile } })
    .Add(static_cast<double>(waited));
  Count("nutmegrock_started_total", *aCall, "");
  transport::Call call = std::move(aCall->mCall.mCall);
  if (aCall->mDispatch) {
    // The outcome must become known even if the caller no longer waits, so the
    // call does not use the caller's cancellation.
    call.mCancellation = std::make_shared<transport::Cancellation>();
  }
  call.mHead.mHeaders = EndToEndHeaders(call.mHead.mHeaders);
  AddCallHeaders(call.mHead, *aCall->mActive, aCall->mStarted);
  mBackend.Send(std::move(call),
                aCall->mCall.mContext.mDeadline,
                [self = shared_from_this(),
                 aCall](core::Expected<transport::Response> aResponse) {
                  self->OnResponse(aCall, std::move(aResponse));
                });
}

void
ServingSide::OnResponse(const ServingCallPtr& aCall,
                        core::Expected<transport::Response> aResponse)
{
  if (aResponse && IsShed(aResponse->mHead, *aCall->mActive)) {
    aResponse = core::Fail(core::ErrorKind::BackendShed,
                           "the backend server shed the call");
  }
  if (!aResponse) {
    OnFailure(aCall, std::move(aResponse.error()));
    return;
  }
  OnResponseHead(aCall, std::move(*aResponse));
}

void
ServingSide::OnFailure(const ServingCallPtr& aCall, core::Error aError)
{
  const limits::CallOutcomeKind end = EndOf(aError);
  mCalls.Remove(aCall->mActive->Token());
  if (aCall->mDispatch && aError.mRun != core::RunCertainty::NotRun) {
    mLedger.OnUnknown(*aCall->mDispatch);
  }
  Refuse(aCall, std::move(aError));
  Release(aCall, end);
}

void
ServingSide::OnResponseHead(const ServingCallPtr& aCall,
                            transport::Response aResponse)
{
  aResponse.mHead.mHeaders = EndToEndHeaders(aResponse.mHead.mHeaders);
  if (aResponse.mHead.mStatus >= kMinServerError &&
      aCall->mActive->HasNestedFailure()) {
    aResponse.mHead.mHeaders.push_back({ std::string(kRetryHeader), "no" });
  }
  if (!aCall->mDispatch) {
    ForwardResponse(aCall, std::move(aResponse));
    return;
  }
  CaptureOutcome(
    std::move(aResponse),
    [self = shared_from_this(),
     aCall](OutcomePtr aOutcome, core::Expected<transport::Response> aKept) {
      self->mLedger.OnDone(*aCall->mDispatch, std::move(aOutcome));
      if (!aKept) {
        self->OnFailure(aCall, std::move(aKept.error()));
        return;
      }
      self->ForwardResponse(aCall, std::move(*aKept));
    });
}

void
ServingSide::ForwardResponse(const ServingCallPtr& aCall,
                             transport::Response aResponse)
{
  aResponse.mBody = transport::TapBody(
    std::move(aResponse.mBody),
    [weak = weak_from_this(), aCall](bool aComplete) {
      if (const auto self = weak.lock()) {
        self->mCalls.Remove(aCall->mActive->Token());
        self->Release(aCall,
                      aComplete ? limits::CallOutcomeKind::Ok
                                : limits::CallOutcomeKind::Failed);
      }
    });
  transport::PeerResult result{ std::move(aResponse), FeedbackOf(*aCall) };
  auto handler = std::move(aCall->mHandler);
  handler(std::move(result));
}

void
ServingSide::Release(const ServingCallPtr& aCall, limits::CallOutcomeKind aEnd)
{
  const core::TimePoint now = mEnvironment.mNow();
  const core::Duration latency = now - aCall->mStarted;
  mRegistry
    .SummaryOf("nutmegrock_backend_latency_us",
               { { "profile", aCall->mCall.mContext.mProfile } })
    .Add(static_cast<double>(core::ToMicros(latency)));
  limits::AdmissionResult result;
  {
    const std::lock_guard lock(mMutex);
    mPending.erase(aCall->mId);
    if (mSettings.mAdmissionEnabled) {
      result = mAdmission.Finish(now, aCall->mId, { latency, aEnd });
    }
  }
  Apply(result);
}

void
ServingSide::Refuse(const ServingCallPtr& aCall, core::Error aError)
{
  Count("nutmegrock_refused_total", *aCall, core::RowOf(aError.mKind).mName);
  if (aCall->mDispatch && aError.mRun == core::RunCertainty::NotRun) {
    mLedger.OnNotRun(*aCall->mDispatch);
  }
  transport::PeerResult result{ tl::make_unexpected(std::move(aError)),
                                FeedbackOf(*aCall) };
  auto handler = std::move(aCall->mHandler);
  handler(std::move(result));
}

void
ServingSide::Count(std::string_view aName,
                   const ServingCall& aCall,
                   std::string_view aReason)
{
  metrics::Labels labels = { { "profile", aCall.mCall.mContext.mProfile } };
  if (!aReason.empty()) {
    labels.emplace_back("reason", aReason);
  }
  mRegistry.CounterOf(aName, labels).Add();
}

core::CallFeedback
ServingSide::FeedbackOf(const ServingCall& aCall) const
{
  core::CallFeedback feedback;
  feedback.mDownstreamLevel = aCall.mActive->DownstreamLevel();
  feedback.mBudgetReturned = aCall.mActive->Close();
  if (mSettings.mAdmissionEnabled) {
    const std::lock_guard lock(mMutex);
    feedback.mLevel = mAdmission.CurrentLevel();
    feedback.mLoadPermille = mAdmission.LoadPermille();
  }
  return feedback;
}

ServingSide::ServingCallPtr
ServingSide::Take(std::uint64_t aId)
{
  const std::lock_guard lock(mMutex);
  auto node = mPending.extract(aId);
  return node.empty() ? nullptr : std::move(node.mapped());
}

ServingSide::ServingCallPtr
ServingSide::Find(std::uint64_t aId) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mPending.find(aId);
  return found == mPending.end() ? nullptr : found->second;
}

void
ServingSide::SetSlots(std::uint32_t aSlots)
{
  limits::AdmissionResult result;
  {
    const std::lock_guard lock(mMutex);
    result = mAdmission.SetSlots(mEnvironment.mNow(), aSlots);
  }
  Apply(result);
}

ServingStatus
ServingSide::Status() const
{
  const std::lock_guard lock(mMutex);
  return { mState,
           mAdmission.Limit(),
           mAdmission.InFlight(),
           mAdmission.Waiting(),
           mAdmission.CurrentLevel() };
}

std::size_t
ServingSide::Pending() const
{
  const std::lock_guard lock(mMutex);
  return mPending.size();
}

} // namespace nutmegrock::node
