#include "experiment/ClientOperation.h"

#include "experiment/LoadGenerator.h"

namespace nutmegrock::experiment {

namespace http = boost::beast::http;

ClientOperation::ClientOperation(LoadGenerator& aLoad,
                                 const ClientBehaviour& aBehaviour,
                                 OperationRecord aRecord,
                                 core::TimePoint aArrival)
  : mLoad(aLoad)
  , mBehaviour(aBehaviour)
  , mArrival(aArrival)
  , mTimer(aLoad.mContext)
  , mRecord(std::move(aRecord))
{
  mRecord.mAllNotRun = true;
}

const RequestKind&
ClientOperation::Kind() const
{
  return mLoad.mSettings.mSpec.mKinds.at(mRecord.mKind);
}

void
ClientOperation::Start()
{
  if (Kind().mImportant && !mLoad.mSettings.mDirect) {
    RequestKey();
  } else {
    Send();
  }
}

void
ClientOperation::RequestKey()
{
  HttpRequest request(http::verb::post, "/keys/" + Kind().mService, 11);
  request.set(http::field::host, "client");
  ++mRecord.mSends;
  SendWithLatency(mLoad.RandomEntryNode(),
                  std::move(request),
                  [self = shared_from_this()](const HttpResult& aResult) {
                    self->OnKey(aResult);
                  });
}

void
ClientOperation::OnKey(const HttpResult& aResult)
{
  if (!aResult.mError && aResult.mResponse.result_int() / 100 == 2) {
    mKey = std::string(aResult.mResponse["Nutmegrock-Key"]);
    // Without a key here, the 428 response to the request itself carries one.
    mRecord.mHadKey = !mKey.empty();
    mRecord.mSends = 0;
    Send();
  } else if (mRecord.mSends <= mBehaviour.mResends) {
    RequestKey();
  } else {
    Classify(aResult);
    mRecord.mReason = "key:" + mRecord.mReason;
    Finish();
  }
}

HttpRequest
ClientOperation::MakeRequest() const
{
  const RequestKind& kind = Kind();
  const std::string target = mLoad.mSettings.mDirect
                               ? "/" + kind.mPath
                               : "/call/" + kind.mService + "/" + kind.mPath;
  HttpRequest request(http::verb::post, target, 11);
  request.set(http::field::host, "client");
  request.set("Nutmegrock-Request", mRecord.mId);
  request.set("Nutmegrock-Profile", kind.mName);
  request.set("X-Operation", mRecord.mId);
  request.set("X-Body-Size", std::to_string(kind.mBodyBytes));
  if (!kind.mPlan.mSteps.empty()) {
    request.set("X-Plan", kind.mPlan.ToString());
  }
  if (!mKey.empty()) {
    request.set("Nutmegrock-Key", mKey);
  }
  request.body() = std::string(kind.mBodyBytes, 'x');
  return request;
}

void
ClientOperation::Send()
{
  ++mRecord.mSends;
  if (mRecord.mSends == 1 && mBehaviour.mDuplicateShare > 0.0 &&
      mLoad.Uniform() < mBehaviour.mDuplicateShare) {
    ++mPending;
    SendDuplicate();
  }
  SendWithLatency(mLoad.RandomEntryNode(),
                  MakeRequest(),
                  [self = shared_from_this()](const HttpResult& aResult) {
                    self->OnResponse(aResult);
                  });
}

void
ClientOperation::SendDuplicate()
{
  mLoad.mClient->Send(mLoad.RandomEntryNode(),
                      MakeRequest(),
                      mBehaviour.mTimeout,
                      [self = shared_from_this()](const HttpResult& aResult) {
                        self->UpdateNotRun(aResult);
                        self->Finish();
                      });
}

void
ClientOperation::SendWithLatency(const core::Address& aEntry,
                                 HttpRequest aRequest,
                                 HttpHandler aHandler)
{
  const core::Duration latency = mLoad.mSettings.mSpec.mClientLatency;
  auto send = [self = shared_from_this(),
               aEntry,
               latency,
               request = std::move(aRequest),
               handler = std::move(aHandler)]() mutable {
    self->mLoad.mClient->Send(
      aEntry,
      std::move(request),
      self->mBehaviour.mTimeout,
      [self, latency, handler](HttpResult aResult) {
        auto shared = std::make_shared<HttpResult>(std::move(aResult));
        self->RunAfter(latency,
                       [handler, shared] { handler(std::move(*shared)); });
      });
  };
  RunAfter(latency, std::move(send));
}

void
ClientOperation::RunAfter(core::Duration aPause, std::function<void()> aNext)
{
  if (aPause <= core::Duration::zero()) {
    aNext();
    return;
  }
  mTimer.expires_after(aPause);
  mTimer.async_wait([self = shared_from_this(), next = std::move(aNext)](
                      boost::system::error_code aError) {
    if (!aError) {
      next();
    }
  });
}

void
ClientOperation::UpdateNotRun(const HttpResult& aResult)
{
  const bool not_run = aResult.mError
                         ? !aResult.mConnected
                         : aResult.mResponse["Nutmegrock-Run"] == "not-run";
  const std::lock_guard lock(mMutex);
  mRecord.mAllNotRun = mRecord.mAllNotRun && not_run;
}

void
ClientOperation::Classify(const HttpResult& aResult)
{
  UpdateNotRun(aResult);
  const auto& response = aResult.mResponse;
  if (aResult.mError) {
    mRecord.mOutcome = OutcomeKind::Failed;
    mRecord.mReason =
      aResult.mError == boost::beast::error::timeout ? "timeout" : "connection";
    return;
  }
  if (response.result_int() / 100 == 2) {
    const std::string expected =
      "{\"operation\":\"" + mRecord.mId +
      "\",\"bytes\":" + std::to_string(Kind().mBodyBytes) + "}";
    const bool whole = response.body() == expected;
    mRecord.mOutcome = whole ? OutcomeKind::Completed : OutcomeKind::Mismatched;
    mRecord.mReason = whole ? "" : "mismatch";
    return;
  }
  mRecord.mOutcome = response["Nutmegrock-Run"] == "not-run"
                       ? OutcomeKind::Refused
                       : OutcomeKind::Failed;
  for (const char* header :
       { "X-Nested-Error", "Nutmegrock-Error", "X-Failure" }) {
    if (response.count(header) > 0) {
      mRecord.mReason = std::string(response[header]);
      return;
    }
  }
  mRecord.mReason = std::to_string(response.result_int());
}

void
ClientOperation::OnResponse(const HttpResult& aResult)
{
  if (!aResult.mError && aResult.mResponse.result_int() == 428 &&
      mKey.empty()) {
    mKey = std::string(aResult.mResponse["Nutmegrock-Key"]);
    if (!mKey.empty()) {
      mRecord.mHadKey = true;
      mRecord.mSends = 0;
      Send();
      return;
    }
  }
  Classify(aResult);
  if (mRecord.mOutcome != OutcomeKind::Completed &&
      mRecord.mSends <= mBehaviour.mResends) {
    Send();
    return;
  }
  Finish();
}

void
ClientOperation::Finish()
{
  {
    const std::lock_guard lock(mMutex);
    if (--mPending > 0) {
      return;
    }
    mRecord.mLatency =
      std::chrono::duration<double>(core::Clock::now() - mArrival).count();
  }
  mLoad.Finish(std::move(mRecord));
}

} // namespace nutmegrock::experiment
