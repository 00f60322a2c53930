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
  /// Send now to a backend server that was not tried yet.
  Elsewhere,
  /// Send after RetryDecision::mDelay, to any backend server.
  AfterDelay,
  /// Answer with the error, marked with Error::mRetryDecided.
  Stop
};

/// Why a call was retried or not; one counter for each.
enum class RetryReason : std::uint8_t
{
  /// Retried elsewhere, using the budget.
  Elsewhere,
  /// Retried elsewhere without using the budget: draining or replaced server.
  FreeElsewhere,
  /// Retried after a pause, using the budget.
  AfterDelay,
  /// The hop next to the failure has decided already.
  DecidedBelow,
  /// The error kind says that sending again cannot help.
  NotRetryable,
  /// Non-idempotent, and the work may have run.
  MayHaveRun,
  /// No retry budget left.
  BudgetSpent,
  /// The target service's share of retries is used up.
  RatioSpent,
  /// Too many draining or replaced servers for one call.
  FreeSpent,
  /// The deadline would pass before an answer.
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
  /// Draining and wrong-incarnation refusals retried per call.
  std::uint32_t mMaxFree = 3;
  /// Shortest pause when the refusal names none.
  core::Duration mMinDelay = std::chrono::milliseconds{ 10 };
  /// Longest accepted pause; a longer hint stops the call.
  core::Duration mMaxDelay = std::chrono::seconds{ 2 };

  bool operator==(const RetryPolicySettings&) const = default;
};

/// What is known about the call whose attempt failed.
struct RetryCall
{
  std::string_view mService;
  core::TimePoint mDeadline;
  bool mIdempotent = true;
  /// Attempts made so far, the failed one included.
  std::uint32_t mAttempts = 1;
  /// How many of them were retries without budget (FreeElsewhere).
  std::uint32_t mFreeRetries = 0;
  /// Backend servers of the service that were not tried and may be chosen.
  std::uint32_t mUntried = 0;
  /// Usual time of a call to the service; zero when not known.
  core::Duration mTypical{ 0 };
};

struct RetryDecision
{
  RetryAction mAction = RetryAction::Stop;
  RetryReason mReason = RetryReason::NotRetryable;
  /// Pause for AfterDelay.
  core::Duration mDelay{ 0 };

  bool operator==(const RetryDecision&) const = default;
};

/// Returns a number in [0, 1), for the spread of pauses.
using RandomShare = std::function<double()>;

/// Decides whether a failed attempt is sent again.
class RetryPolicy
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<RetryPolicy> Create(
    const RetryPolicySettings& aSettings);

  /// Takes what a retry uses from the budget and the ratio.
  RetryDecision Decide(core::TimePoint aNow,
                       const core::Error& aError,
                       const RetryCall& aCall,
                       RetryBudget& aBudget,
                       RetryRatio& aRatio,
                       const RandomShare& aRandom) const;

private:
  explicit RetryPolicy(const RetryPolicySettings& aSettings)
    : mSettings(aSettings)
  {
  }
  core::Duration DelayOf(const core::Error& aError,
                         const RetryCall& aCall,
                         const RandomShare& aRandom) const;

  RetryPolicySettings mSettings;
};

/// Counter name of a reason.
std::string_view
NameOf(RetryReason aReason);

} // namespace nutmegrock::retry
