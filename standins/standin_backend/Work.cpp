#include "standins/standin_backend/Work.h"

#include <boost/asio/dispatch.hpp>
#include <charconv>

namespace nutmegrock::standin_backend {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::seconds kNestedCallTimeout{ 60 };

std::optional<std::uint64_t>
NumberOf(boost::beast::string_view aText)
{
  std::uint64_t number = 0;
  const auto* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number);
  if (aText.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::shared_ptr<Work>
Work::Create(boost::asio::any_io_executor aExecutor,
             std::shared_ptr<BackendState> aState,
             experiment::HttpRequest aRequest)
{
  return std::shared_ptr<Work>(
    new Work(std::move(aExecutor), std::move(aState), std::move(aRequest)));
}

Work::Work(boost::asio::any_io_executor aExecutor,
           std::shared_ptr<BackendState> aState,
           experiment::HttpRequest aRequest)
  : mExecutor(std::move(aExecutor))
  , mState(std::move(aState))
  , mRequest(std::move(aRequest))
  , mOperation(mRequest["X-Operation"])
  , mServiceTimer(mExecutor)
  , mDeadlineTimer(mExecutor)
{
}

bool
Work::BodyComplete() const
{
  const auto expected = NumberOf(mRequest["X-Body-Size"]);
  return !expected || *expected == mRequest.body().size();
}

void
Work::Start(Handler aHandler)
{
  mHandler = std::move(aHandler);
  mState->Counts().AddAttempt(mOperation,
                              std::string(mRequest["Nutmegrock-Request"]));
  if (!BodyComplete()) {
    Respond(400, "X-Failure", "body length");
    return;
  }
  if (mState->ServiceTimes().Chance(mState->CurrentBehaviour().mShed)) {
    Respond(503, "Nutmegrock-Run", "not-run");
    return;
  }
  if (const auto remaining = NumberOf(mRequest["Nutmegrock-Deadline-Ms"])) {
    mDeadline = core::Clock::now() + std::chrono::milliseconds(*remaining);
    mDeadlineTimer.expires_at(mDeadline);
    mDeadlineTimer.async_wait(
      [weak = weak_from_this()](boost::system::error_code aError) {
        const auto self = weak.lock();
        if (self && !aError) {
          self->OnDeadline();
        }
      });
  }
  mTicket = mState->Slots().Acquire([self = shared_from_this()] {
    boost::asio::dispatch(self->mExecutor, [self] { self->OnGranted(); });
  });
  if (!mTicket) {
    Respond(503, "Nutmegrock-Run", "not-run");
  }
}

void
Work::Abort()
{
  if (!mHandler) {
    return;
  }
  mHandler = nullptr;
  mDeadlineTimer.cancel();
  if (mRunStart) {
    EndRun(false);
  } else if (mTicket) {
    // If the slot was granted meanwhile, OnGranted() releases it.
    mState->Slots().Abandon(*mTicket);
  }
}

void
Work::OnGranted()
{
  if (!mHandler) {
    mState->Slots().Release();
    return;
  }
  const auto now = core::Clock::now();
  mRunStart = now;
  mState->Counts().AddRun(mOperation, mState->SinceDrain(now));
  if (mState->CurrentBehaviour().mHang) {
    mDeadlineTimer.cancel();
    return;
  }
  const core::Duration time = mState->SampleRun(now);
  if (time <= core::Duration::zero()) {
    OnServiceEnd();
    return;
  }
  mServiceTimer.expires_at(now + time);
  mServiceTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aError) {
      if (!aError && self->mHandler) {
        self->OnServiceEnd();
      }
    });
}

void
Work::OnServiceEnd()
{
  if (mState->ServiceTimes().Chance(mState->CurrentBehaviour().mFail)) {
    EndRun(false);
    Respond(500, "X-Failure", "fault");
    return;
  }
  auto plan = experiment::Plan::Parse(std::string(
    std::string_view(mRequest["X-Plan"].data(), mRequest["X-Plan"].size())));
  if (!plan) {
    EndRun(false);
    Respond(400, "X-Failure", "plan");
    return;
  }
  if (plan->mSteps.empty()) {
    EndRun(true);
    Respond(200);
    return;
  }
  mNested = PlanRunner::Create(
    mExecutor,
    mState,
    std::move(*plan),
    { std::string(mRequest["Nutmegrock-Call"]), mOperation },
    std::min(mDeadline, core::Clock::now() + kNestedCallTimeout));
  mNested->Start([self = shared_from_this()](const std::string& aReason) {
    self->EndRun(aReason.empty());
    if (aReason.empty()) {
      self->Respond(200);
    } else {
      self->Respond(502, "X-Nested-Error", aReason);
    }
  });
}

void
Work::OnDeadline()
{
  if (!mHandler) {
    return;
  }
  const bool ran = mRunStart.has_value();
  const Handler handler = mHandler;
  Abort();
  mHandler = handler;
  Respond(504, ran ? "X-Failure" : "Nutmegrock-Run", ran ? "late" : "not-run");
}

void
Work::EndRun(bool aCompleted)
{
  mServiceTimer.cancel();
  if (mNested) {
    mNested->Cancel();
    mNested.reset();
  }
  mState->Counts().AddEnd(
    mOperation, core::Clock::now() - *mRunStart, aCompleted);
  mState->Slots().Release();
}

void
Work::Respond(unsigned aStatus,
              const std::string& aHeader,
              const std::string& aValue)
{
  mDeadlineTimer.cancel();
  experiment::HttpResponse response(http::int_to_status(aStatus),
                                    mRequest.version());
  response.keep_alive(mRequest.keep_alive());
  response.set("X-Operation", mOperation);
  if (!aHeader.empty()) {
    response.set(aHeader, aValue);
  }
  response.body() = "{\"operation\":\"" + mOperation +
                    "\",\"bytes\":" + std::to_string(mRequest.body().size()) +
                    "}";
  response.prepare_payload();
  const Handler handler = std::move(mHandler);
  mHandler = nullptr;
  handler(std::move(response));
}

} // namespace nutmegrock::standin_backend
