#include "transport/peer/ClientCall.h"

#include <utility>

namespace nutmegrock::transport::peer {

void
ClientCall::ReportError(core::Error aError)
{
  const bool sent = mId != 0;
  if (sent) {
    aError = core::MarkPossiblyRun(std::move(aError));
  }
  if (const auto control = std::exchange(mControlHandler, {})) {
    control(tl::make_unexpected(std::move(aError)));
  } else if (const auto response = std::exchange(mHandler, {})) {
    // A retry budget that was never sent is not spent.
    core::CallFeedback feedback;
    feedback.mBudgetReturned = sent ? 0 : mCall->mContext.mRetryBudget;
    response({ tl::make_unexpected(std::move(aError)), feedback });
  } else if (const auto receiver = mReceiver.lock()) {
    receiver->Fail(std::move(aError));
  }
}

} // namespace nutmegrock::transport::peer
