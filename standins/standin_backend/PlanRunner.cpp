#include "standins/standin_backend/PlanRunner.h"

#include <boost/asio/post.hpp>

namespace nutmegrock::standin_backend {

namespace http = boost::beast::http;

std::shared_ptr<PlanRunner>
PlanRunner::Create(boost::asio::any_io_executor aExecutor,
                   std::shared_ptr<BackendState> aState,
                   experiment::Plan aPlan,
                   CallTags aTags,
                   core::TimePoint aDeadline)
{
  return std::shared_ptr<PlanRunner>(new PlanRunner(std::move(aExecutor),
                                                    std::move(aState),
                                                    std::move(aPlan),
                                                    std::move(aTags),
                                                    aDeadline));
}

PlanRunner::PlanRunner(boost::asio::any_io_executor aExecutor,
                       std::shared_ptr<BackendState> aState,
                       experiment::Plan aPlan,
                       CallTags aTags,
                       core::TimePoint aDeadline)
  : mExecutor(std::move(aExecutor))
  , mState(std::move(aState))
  , mPlan(std::move(aPlan))
  , mTags(std::move(aTags))
  , mDeadline(aDeadline)
{
}

void
PlanRunner::Start(Handler aHandler)
{
  mHandler = std::move(aHandler);
  NextStep();
}

void
PlanRunner::Cancel()
{
  mHandler = nullptr;
  for (const auto& exchange : mExchanges) {
    experiment::PooledClient::Cancel(exchange);
  }
  mExchanges.clear();
}

void
PlanRunner::NextStep()
{
  if (mStep == mPlan.mSteps.size()) {
    Finish("");
    return;
  }
  const auto& step = mPlan.mSteps[mStep++];
  mPending = step.size();
  mExchanges.clear();
  for (const auto& call : step) {
    SendCall(call, "");
  }
}

void
PlanRunner::SendCall(const experiment::PlannedCall& aCall,
                     const std::string& aKey)
{
  experiment::HttpRequest request(
    http::verb::post, "/call/" + aCall.mService + "/" + aCall.mPath, 11);
  request.set(http::field::host, "backend");
  if (!mState->CurrentBehaviour().mDropHeaders) {
    request.set("Nutmegrock-Call", mTags.mToken);
  }
  request.set("X-Operation", mTags.mOperation);
  if (!aCall.mSteps.empty()) {
    request.set("X-Plan", experiment::Plan{ aCall.mSteps }.ToString());
  }
  if (!aKey.empty()) {
    request.set("Nutmegrock-Key", aKey);
  }
  const core::Duration remaining = mDeadline - core::Clock::now();
  mExchanges.push_back(mState->Client().Send(
    mState->SettingsOf().mNode,
    std::move(request),
    std::max(remaining, core::Duration{ std::chrono::milliseconds(1) }),
    [self = shared_from_this(), aCall, had_key = !aKey.empty()](
      experiment::HttpResult aResult) {
      boost::asio::post(
        self->mExecutor,
        [self, aCall, had_key, result = std::move(aResult)]() mutable {
          self->OnResult(aCall, had_key, result);
        });
    }));
}

void
PlanRunner::OnResult(const experiment::PlannedCall& aCall,
                     bool aHadKey,
                     const experiment::HttpResult& aResult)
{
  if (!mHandler) {
    return;
  }
  const auto& response = aResult.mResponse;
  if (!aResult.mError && response.result_int() == 428 && !aHadKey) {
    SendCall(aCall, std::string(response["Nutmegrock-Key"]));
    return;
  }
  if (aResult.mError || response.result_int() >= 300) {
    std::string reason = aCall.mService + ":";
    if (aResult.mError) {
      reason += "connection";
    } else if (response.count("X-Nested-Error") > 0) {
      reason = std::string(response["X-Nested-Error"]);
    } else if (response.count("Nutmegrock-Error") > 0) {
      reason += std::string(response["Nutmegrock-Error"]);
    } else {
      reason += std::to_string(response.result_int());
    }
    Finish(reason);
    return;
  }
  if (--mPending == 0) {
    NextStep();
  }
}

void
PlanRunner::Finish(const std::string& aReason)
{
  const Handler handler = std::move(mHandler);
  Cancel();
  handler(aReason);
}

} // namespace nutmegrock::standin_backend
