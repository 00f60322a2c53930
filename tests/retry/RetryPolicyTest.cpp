#include "retry/RetryPolicy.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::ErrorKind;
using retry::RetryAction;
using retry::RetryPolicy;
using retry::RetryReason;

namespace {

constexpr core::TimePoint kNow{ 1h };

struct Fixture
{
  std::unique_ptr<retry::RetryRatio> mRatio = *retry::RetryRatio::Create({});
  retry::RetryBudget mBudget{ 2 };
  RetryPolicy mPolicy = *RetryPolicy::Create({});
  retry::RetryCall mCall{ .mService = "till",
                          .mDeadline = kNow + 1s,
                          .mUntried = 2 };

  Fixture()
  {
    for (int i = 0; i < 30; ++i) {
      mRatio->OnSuccess(kNow, "till");
    }
  }
  retry::RetryDecision Decide(const core::Error& aError)
  {
    return mPolicy.Decide(
      kNow, aError, mCall, mBudget, *mRatio, [] { return 0.5; });
  }
};

} // namespace

TEST_SUITE("retry/RetryPolicy")
{
  TEST_CASE("each error leads to one decision and reason")
  {
    struct Row
    {
      ErrorKind mKind;
      bool mIdempotent;
      bool mPossiblyRun;
      RetryReason mReason;
      std::uint32_t mRemainingBudget;
    };
    for (const Row& row : {
           Row{ ErrorKind::QueueFull, true, false, RetryReason::Elsewhere, 1 },
           Row{ ErrorKind::QueueFull, false, false, RetryReason::Elsewhere, 1 },
           Row{ ErrorKind::QueueFull, false, true, RetryReason::MayHaveRun, 2 },
           Row{ ErrorKind::PeerLost, true, true, RetryReason::Elsewhere, 1 },
           Row{ ErrorKind::PeerLost, false, true, RetryReason::MayHaveRun, 2 },
           Row{
             ErrorKind::LevelTooLow, true, false, RetryReason::AfterDelay, 1 },
           Row{
             ErrorKind::QueueTimeout, true, false, RetryReason::AfterDelay, 1 },
           Row{
             ErrorKind::Draining, true, false, RetryReason::FreeElsewhere, 2 },
           Row{ ErrorKind::WrongIncarnation,
                false,
                false,
                RetryReason::FreeElsewhere,
                2 },
           // After a draining server that may have run the call a retry is not
           // free.
           Row{ ErrorKind::Draining, true, true, RetryReason::Elsewhere, 1 },
           Row{ ErrorKind::Draining, false, true, RetryReason::MayHaveRun, 2 },
           Row{ ErrorKind::BackendTimeout,
                true,
                true,
                RetryReason::NotRetryable,
                2 },
           Row{
             ErrorKind::BadRequest, true, false, RetryReason::NotRetryable, 2 },
           Row{ ErrorKind::KeyRequired,
                false,
                false,
                RetryReason::NotRetryable,
                2 },
         }) {
      CAPTURE(core::RowOf(row.mKind).mName);
      Fixture fixture;
      fixture.mCall.mIdempotent = row.mIdempotent;
      core::Error error = core::MakeError(row.mKind, "x");
      error = row.mPossiblyRun ? core::MarkPossiblyRun(error) : error;
      const auto decision = fixture.Decide(error);
      CHECK(retry::NameOf(decision.mReason) == retry::NameOf(row.mReason));
      CHECK(fixture.mBudget.Remaining() == row.mRemainingBudget);
      const bool later = row.mReason == RetryReason::AfterDelay;
      CHECK((decision.mDelay > 0ms) == later);
    }
  }

  // If each hop retried the same failure, the attempts would multiply.
  TEST_CASE("an error with a retry decision of a hop below is passed on")
  {
    Fixture fixture;
    core::Error error = core::MakeError(ErrorKind::QueueFull, "x");
    error.mRetryDecided = true;
    CHECK(fixture.Decide(error).mReason == RetryReason::DecidedBelow);
    CHECK(fixture.mBudget.Remaining() == 2);
  }

  TEST_CASE("stops when budget, ratio, servers or time run out")
  {
    const core::Error full = core::MakeError(ErrorKind::QueueFull, "x");
    {
      Fixture fixture;
      CHECK(fixture.Decide(full).mAction == RetryAction::Elsewhere);
      CHECK(fixture.Decide(full).mAction == RetryAction::Elsewhere);
      CHECK(fixture.Decide(full).mReason == RetryReason::BudgetSpent);
    }
    {
      Fixture fixture;
      while (fixture.mRatio->TryTake(kNow, "till")) {
      }
      CHECK(fixture.Decide(full).mReason == RetryReason::RatioSpent);
      CHECK(fixture.mBudget.Remaining() == 2);
    }
    {
      Fixture fixture;
      fixture.mCall.mUntried = 0;
      CHECK(fixture.Decide(full).mReason == RetryReason::AllTried);
    }
    {
      Fixture fixture;
      fixture.mCall.mTypicalTime = 2s;
      CHECK(fixture.Decide(full).mReason == RetryReason::NoTime);
    }
    {
      Fixture fixture;
      core::Error later = core::MakeError(ErrorKind::LevelTooLow, "x");
      later.mRetryAfter = 990ms;
      CHECK(fixture.Decide(later).mReason == RetryReason::NoTime);
    }
  }

  // During a rolling restart one call must not be retried without limit.
  TEST_CASE("draining servers are retried without budget, three times")
  {
    Fixture fixture;
    const core::Error draining = core::MakeError(ErrorKind::Draining, "x");
    for (std::uint32_t free = 0; free < 3; ++free) {
      fixture.mCall.mFreeRetries = free;
      CHECK(fixture.Decide(draining).mReason == RetryReason::FreeElsewhere);
    }
    fixture.mCall.mFreeRetries = 3;
    CHECK(fixture.Decide(draining).mReason == RetryReason::FreeSpent);
    CHECK(fixture.mBudget.Remaining() == 2);
  }

  TEST_CASE("waits at least as long as the refusal requests, and backs off")
  {
    Fixture fixture;
    core::Error error = core::MakeError(ErrorKind::LevelTooLow, "x");
    error.mRetryAfter = 200ms;
    CHECK(fixture.Decide(error).mDelay == 250ms);
    error.mRetryAfter = 0ms;
    fixture.mCall.mAttempts = 3;
    CHECK(fixture.Decide(error).mDelay == 50ms);
  }

  TEST_CASE("every reason has its own counter name")
  {
    CHECK(retry::NameOf(RetryReason::AllTried) == "all_tried");
    static_assert(static_cast<std::size_t>(RetryReason::AllTried) + 1 ==
                  retry::kRetryReasons);
  }
}
