#include "transport/peer/ClientCall.h"

#include <utility>

namespace nutmegrock::transport::peer {

void
ClientCall::GiveError(core::Error aError)
{
  const bool sent = mId != 0;
  if (sent) {
    aError = core::MarkPossiblyRun(std::move(aError));
  }
  if (const auto control = std::exchange(mControlHandler, {})) {
    control(tl::make_unexpected(std::move(aError)));
  } else if (const auto answer = std::exchange(mHandler, {})) {
    // A budget that was never handed over is not spent.
    core::CallFeedback feedback;
    feedback.mBudgetReturned = sent ? 0 : mCall->mContext.mRetryBudget;
    answer({ tl::make_unexpected(std::move(aError)), feedback });
  } else if (const auto receiver = mReceiver.lock()) {
    receiver->Fail(std::move(aError));
  }
}

} // namespace nutmegrock::transport::peer
