#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "retry/RetryBudget.h"
#include "retry/RetryRatio.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string_view>

namespace nutmegrock::retry {

enum class RetryAction : std::uint8_t
{
  /// Retry immediately at a backend server that was not tried yet.
  Elsewhere,
  /// Retry after RetryDecision::mDelay, at any backend server.
  AfterDelay,
  /// Respond with the error, marked with Error::mRetryDecided.
  Stop
};

/// Why a call was retried or not; one counter for each.
enum class RetryReason : std::uint8_t
{
  /// Retried elsewhere, using the budget.
  Elsewhere,
  /// Retried elsewhere without using the budget: draining or replaced backend
  /// server.
  FreeElsewhere,
  /// Retried after a delay, using the budget.
  AfterDelay,
  /// The hop closest to the failure has already decided.
  DecidedBelow,
  /// A retry cannot succeed for this kind of error.
  NotRetryable,
  /// Non-idempotent, and the call may have run.
  MayHaveRun,
  /// The retry budget is spent.
  BudgetSpent,
  /// The retry ratio of the target service is spent.
  RatioSpent,
  /// The call has met too many draining or replaced servers.
  FreeSpent,
  /// The deadline would pass before a response.
  NoTime,
  /// Every backend server of the service was tried.
  AllTried
};

constexpr std::size_t kRetryReasons = 11;

constexpr std::array<std::string_view, kRetryReasons> kRetryReasonNames = {
  "elsewhere",  "free_elsewhere", "after_delay",  "decided_below",
  "no_use",     "may_have_run",   "budget_spent", "ratio_spent",
  "free_spent", "no_time",        "all_tried"
};

struct RetryPolicySettings
{
  /// Maximum free retries per call, after refusals by draining, not ready or
  /// replaced servers.
  std::uint32_t mMaxFreeRetries = 3;
  /// Minimum delay if the refusal contains none.
  core::Duration mMinDelay = std::chrono::milliseconds{ 10 };
  /// Maximum delay; a longer one stops the call.
  core::Duration mMaxDelay = std::chrono::seconds{ 2 };

  bool operator==(const RetryPolicySettings&) const = default;
};

/// State of the call whose attempt failed.
struct RetryCall
{
  std::string_view mService;
  core::TimePoint mDeadline;
  bool mIdempotent = true;
  /// Attempts made so far, including the failed one.
  std::uint32_t mAttempts = 1;
  /// Number of free retries among them (FreeElsewhere).
  std::uint32_t mFreeRetries = 0;
  /// Number of backend servers of the service that were not tried and may be
  /// chosen.
  std::uint32_t mUntried = 0;
  /// Typical time of a call to the service; zero if unknown.
  core::Duration mTypicalTime{ 0 };
};

struct RetryDecision
{
  RetryAction mAction = RetryAction::Stop;
  RetryReason mReason = RetryReason::NotRetryable;
  /// Delay for AfterDelay.
  core::Duration mDelay{ 0 };

  bool operator==(const RetryDecision&) const = default;
};

/// Returns a random number in [0, 1), for the jitter of delays.
using RandomFraction = std::function<double()>;

/// Decides whether a failed attempt is retried.
class RetryPolicy
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<RetryPolicy> Create(
    const RetryPolicySettings& aSettings);

  /// Decides about one failed attempt; a retry is taken from the budget and the
  /// ratio.
  RetryDecision Decide(core::TimePoint aNow,
                       const core::Error& aError,
                       const RetryCall& aCall,
                       RetryBudget& aBudget,
                       RetryRatio& aRatio,
                       const RandomFraction& aRandom) const;

private:
  explicit RetryPolicy(const RetryPolicySettings& aSettings)
    : mSettings(aSettings)
  {
  }
  core::Duration DelayOf(const core::Error& aError,
                         const RetryCall& aCall,
                         const RandomFraction& aRandom) const;

  RetryPolicySettings mSettings;
};

/// Counter name of a reason.
std::string_view
NameOf(RetryReason aReason);

} // namespace nutmegrock::retry
