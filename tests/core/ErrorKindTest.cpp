#include "core/Error.h"

#include <doctest/doctest.h>
#include <set>

using namespace nutmegrock::core;

TEST_SUITE("core/ErrorKind")
{
  // RowOf() indexes by kind: a misplaced row would give a kind the HTTP status
  // of another.
  TEST_CASE("rows are in the order of the kinds and have unique names")
  {
    std::set<std::string_view> names;
    std::size_t index = 0;
    for (const ErrorRow& row : ErrorTable()) {
      CHECK(static_cast<std::size_t>(row.mKind) == index++);
      CHECK(names.insert(row.mName).second);
      CHECK(row.mStatus >= 400);
    }
  }

  // Retrying a call that may have run, as if it had not, would run it twice.
  TEST_CASE("an error of a call that may have run is never NotRun")
  {
    const Error lost = MarkPossiblyRun(MakeError(ErrorKind::QueueFull, "x"));
    CHECK(lost.mRun == RunCertainty::Unknown);
    CHECK(MakeError(ErrorKind::QueueFull, "x").mRun == RunCertainty::NotRun);
    CHECK(MakeError(ErrorKind::PeerLost, "x").mRun == RunCertainty::Unknown);
  }
}
