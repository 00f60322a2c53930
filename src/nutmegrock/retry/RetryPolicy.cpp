#include "retry/RetryPolicy.h"

#include <algorithm>

namespace nutmegrock::retry {

namespace {

using core::ErrorKind;

/// Refusals of a server that is leaving or was replaced. They are about the
/// server, not about the load, so they neither use the budget nor the ratio.
bool
IsFree(const core::Error& aError)
{
  return aError.mRun == core::RunCertainty::NotRun &&
         (aError.mKind == ErrorKind::Draining ||
          aError.mKind == ErrorKind::NotReady ||
          aError.mKind == ErrorKind::WrongIncarnation);
}

RetryDecision
Stop(RetryReason aReason)
{
  return { RetryAction::Stop, aReason, core::Duration{ 0 } };
}

} // namespace

std::string_view
NameOf(RetryReason aReason)
{
  return kRetryReasonNames.at(static_cast<std::size_t>(aReason));
}

core::Expected<RetryPolicy>
RetryPolicy::Create(const RetryPolicySettings& aSettings)
{
  if (aSettings.mMinDelay <= core::Duration{ 0 } ||
      aSettings.mMaxDelay < aSettings.mMinDelay) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "retry policy: the shortest delay must be positive and "
                      "not above the longest");
  }
  return RetryPolicy(aSettings);
}

core::Duration
RetryPolicy::DelayOf(const core::Error& aError,
                     const RetryCall& aCall,
                     const RandomShare& aRandom) const
{
  const std::uint32_t doublings = std::min(aCall.mAttempts - 1, 10U);
  const core::Duration base = std::max<core::Duration>(
    aError.mRetryAfter, mSettings.mMinDelay * (1U << doublings));
  // Never earlier than the hint, and spread so that calls refused together do
  // not come back together.
  const auto spread = static_cast<core::Duration::rep>(
    aRandom() * 0.5 * static_cast<double>(base.count()));
  return base + core::Duration{ spread };
}

RetryDecision
RetryPolicy::Decide(core::TimePoint aNow,
                    const core::Error& aError,
                    const RetryCall& aCall,
                    RetryBudget& aBudget,
                    RetryRatio& aRatio,
                    const RandomShare& aRandom) const
{
  if (aError.mRetryDecided) {
    return Stop(RetryReason::DecidedBelow);
  }
  // A key has to come from the caller.
  if (aError.mKind == ErrorKind::KeyRequired) {
    return Stop(RetryReason::NotRetryable);
  }
  const core::RetryAdvice advice = core::RowOf(aError.mKind).mAdvice;
  if (advice == core::RetryAdvice::No ||
      aError.mRun == core::RunCertainty::Ran) {
    return Stop(RetryReason::NotRetryable);
  }
  if (!aCall.mIdempotent && aError.mRun != core::RunCertainty::NotRun) {
    return Stop(RetryReason::MayHaveRun);
  }
  if (aNow + aCall.mTypical >= aCall.mDeadline) {
    return Stop(RetryReason::NoTime);
  }
  if (IsFree(aError)) {
    if (aCall.mFreeRetries >= mSettings.mMaxFree) {
      return Stop(RetryReason::FreeSpent);
    }
    if (aCall.mUntried == 0) {
      return Stop(RetryReason::AllTried);
    }
    return { RetryAction::Elsewhere,
             RetryReason::FreeElsewhere,
             core::Duration{ 0 } };
  }
  RetryDecision decision{ RetryAction::Elsewhere,
                          RetryReason::Elsewhere,
                          core::Duration{ 0 } };
  if (advice == core::RetryAdvice::Later) {
    decision = { RetryAction::AfterDelay,
                 RetryReason::AfterDelay,
                 DelayOf(aError, aCall, aRandom) };
    if (decision.mDelay > mSettings.mMaxDelay ||
        aNow + decision.mDelay + aCall.mTypical >= aCall.mDeadline) {
      return Stop(RetryReason::NoTime);
    }
  } else if (aCall.mUntried == 0) {
    return Stop(RetryReason::AllTried);
  }
  if (aBudget.Remaining() == 0) {
    return Stop(RetryReason::BudgetSpent);
  }
  // The ratio last: it is taken only when the retry is sent.
  if (!aRatio.TryTake(aNow, aCall.mService)) {
    return Stop(RetryReason::RatioSpent);
  }
  aBudget.Spend();
  return decision;
}

} // namespace nutmegrock::retry
