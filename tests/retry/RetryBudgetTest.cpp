#include "retry/RetryBudget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace nutmegrock::retry;

namespace {

/// Runs one call with aInitial at aDepth and random nested calls in parallel.
/// Counts the retries of the whole tree, and returns the unused ones.
std::uint32_t
RunCall(std::uint32_t aInitial, int aDepth, std::uint32_t& aSpent)
{
  RetryBudget budget(aInitial);
  std::vector<std::pair<RetryGrant, std::uint32_t>> responses;
  const auto steps = *rc::gen::inRange(0, 8);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        aSpent += budget.Spend() ? 1 : 0;
        break;
      case 1: {
        const RetryGrant grant = budget.Grant();
        const std::uint32_t back =
          aDepth > 0 ? RunCall(grant.mAmount, aDepth - 1, aSpent) : 0;
        responses.emplace_back(grant, back);
        break;
      }
      case 2:
        // A response, possibly out of order, possibly repeated.
        if (!responses.empty()) {
          const auto& [grant, back] = *rc::gen::elementOf(responses);
          budget.Return(grant.mId, back);
        }
        break;
      default:
        // A faulty peer returns more than it was granted.
        if (!responses.empty()) {
          budget.Return(responses.back().first.mId + 100, 1000);
        }
        break;
    }
  }
  return budget.Close();
}

} // namespace

TEST_SUITE("retry/RetryBudget")
{
  // Without the budget, retries of a customer request multiply per hop
  // (invariant I1).
  TEST_CASE("a whole tree of calls never spends more than the entry's budget")
  {
    CHECK(rc::check([] {
      const auto given = *rc::gen::inRange<std::uint32_t>(0, 20);
      std::uint32_t spent = 0;
      const std::uint32_t back = RunCall(given, 4, spent);
      RC_ASSERT(spent + back <= given);
    }));
  }

  TEST_CASE("grants half of what is left, rounded up")
  {
    RetryBudget budget(5);
    CHECK(budget.Grant().mAmount == 3);
    CHECK(budget.Grant().mAmount == 1);
    CHECK(budget.Grant().mAmount == 1);
    CHECK(budget.Grant().mAmount == 0);
    CHECK_FALSE(budget.Spend());
  }

  TEST_CASE("takes back at most the grant, once, and nothing after the end")
  {
    RetryBudget budget(4);
    const RetryGrant one = budget.Grant();
    const RetryGrant two = budget.Grant();
    budget.Return(one.mId, 1000);
    CHECK(budget.Remaining() == 3);
    budget.Return(one.mId, 2);
    CHECK(budget.Remaining() == 3);
    CHECK(budget.Close() == 3);
    budget.Return(two.mId, 1);
    CHECK(budget.Remaining() == 0);
    CHECK(budget.Close() == 0);
  }
}
