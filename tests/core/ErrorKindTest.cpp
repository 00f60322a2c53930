#include "core/Error.h"

#include <doctest/doctest.h>
#include <set>

using namespace nutmegrock::core;

TEST_SUITE("core/ErrorKind")
{
  // A kind in the wrong row would be answered with another kind's status.
  TEST_CASE("rows stand in the order of the kinds and have unique names")
  {
    std::set<std::string_view> names;
    std::size_t index = 0;
    for (const ErrorRow& row : ErrorTable()) {
      CHECK(static_cast<std::size_t>(row.mKind) == index++);
      CHECK(names.insert(row.mName).second);
      CHECK(row.mStatus >= 400);
    }
  }

  // Advice to try elsewhere for work that may have run would run it twice.
  TEST_CASE("a kind that may have run never carries a certain refusal")
  {
    const Error lost = MarkPossiblyRun(MakeError(ErrorKind::QueueFull, "x"));
    CHECK(lost.mRun == RunCertainty::Unknown);
    CHECK(MakeError(ErrorKind::QueueFull, "x").mRun == RunCertainty::NotRun);
    CHECK(MakeError(ErrorKind::PeerLost, "x").mRun == RunCertainty::Unknown);
  }
}
