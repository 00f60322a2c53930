#include "retry/RetryPolicy.h"

#include <algorithm>

namespace nutmegrock::retry {

namespace {

using core::ErrorKind;

/// Returns true for refusals by a server that is leaving, not ready or
/// replaced. They are unrelated to load, so a retry uses neither budget nor
/// ratio.
bool
IsFreeRetry(const core::Error& aError)
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
                      "retry policy: the minimum delay must be positive and "
                      "not above the maximum");
  }
  return RetryPolicy(aSettings);
}

core::Duration
RetryPolicy::DelayOf(const core::Error& aError,
                     const RetryCall& aCall,
                     const RandomFraction& aRandom) const
{
  const std::uint32_t doublings = std::min(aCall.mAttempts - 1, 10U);
  const core::Duration base = std::max<core::Duration>(
    aError.mRetryAfter, mSettings.mMinDelay * (1U << doublings));
  // Never earlier than the hint. Jitter keeps calls that were refused together
  // from being retried together.
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
                    const RandomFraction& aRandom) const
{
  if (aError.mRetryDecided) {
    return Stop(RetryReason::DecidedBelow);
  }
  // The key has to be supplied by the caller.
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
  if (aNow + aCall.mTypicalTime >= aCall.mDeadline) {
    return Stop(RetryReason::NoTime);
  }
  if (IsFreeRetry(aError)) {
    if (aCall.mFreeRetries >= mSettings.mMaxFreeRetries) {
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
        aNow + decision.mDelay + aCall.mTypicalTime >= aCall.mDeadline) {
      return Stop(RetryReason::NoTime);
    }
  } else if (aCall.mUntried == 0) {
    return Stop(RetryReason::AllTried);
  }
  if (aBudget.Remaining() == 0) {
    return Stop(RetryReason::BudgetSpent);
  }
  // Checked last, since the ratio is only charged if the retry is sent.
  if (!aRatio.TryTake(aNow, aCall.mService)) {
    return Stop(RetryReason::RatioSpent);
  }
  aBudget.Spend();
  return decision;
}

} // namespace nutmegrock::retry
