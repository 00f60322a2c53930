#include "routes/Freshness.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::routes;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kBegin{ 1h };

} // namespace

// Guards against a confirmation that goes round between nodes, each time by its
// delay too young, and keeps all from reading.
TEST_CASE("a confirmation that was heard before confirms nothing")
{
  Freshness freshness(kBegin, 1);
  CHECK(freshness.OnHeard({ kBegin + 500ms, 7'000 }));
  const core::TimePoint read_at = freshness.ReadAt();
  CHECK(!freshness.OnHeard({ kBegin + 900ms, 7'000 }));
  CHECK(!freshness.OnHeard({ kBegin + 900ms, 6'999 }));
  CHECK(freshness.ReadAt() == read_at);
  CHECK(freshness.Last() == Confirmation{ kBegin + 500ms, 7'000 });
}

// Guards against a node that never reads again when the clock of the store has
// gone back, and against confirmations of before that.
TEST_CASE("an own read counts whatever the clock of the store says")
{
  Freshness freshness(kBegin, 1);
  CHECK(freshness.OnRead({ kBegin + 500ms, 7'000 }));
  CHECK(freshness.OnRead({ kBegin + 1'500ms, 10 }));
  CHECK(!freshness.OnHeard({ kBegin + 1'400ms, 7'900 }));
  CHECK(freshness.OnHeard({ kBegin + 1'900ms, 400 }));
  CHECK(freshness.Last().mStoreMs == 400);
}

TEST_CASE("a node reads when its routes are unconfirmed for a bounded time")
{
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Freshness freshness(kBegin, seed);
    freshness.SetNodes(seed);
    for (int i = 1; i <= 20; ++i) {
      const core::TimePoint at = kBegin + i * 1s;
      freshness.OnRead({ at, i });
      CHECK(freshness.ReadAt() >= at + Freshness::kMinAge);
      CHECK(freshness.ReadAt() <= at + Freshness::kMaxAge);
    }
  }
}

// Guards against a node that still waits when the store has been back for three
// seconds, after any number of failures.
TEST_CASE("a failed read is repeated soon")
{
  Freshness freshness(kBegin, 1);
  core::TimePoint now = kBegin;
  for (int i = 0; i < 50; ++i) {
    freshness.OnReadFailed(now);
    CHECK(freshness.ReadAt() > now);
    CHECK(freshness.ReadAt() <= now + Freshness::kMaxBackoff);
    now = freshness.ReadAt();
  }
}

// Several nodes read at about the same time. Guards against datagrams for each
// of their confirmations.
TEST_CASE("confirmations in quick succession are passed on once")
{
  Freshness freshness(kBegin, 1);
  CHECK(freshness.OnHeard({ kBegin + 500ms, 500 }));
  CHECK(!freshness.OnHeard({ kBegin + 520ms, 520 }));
  CHECK(!freshness.OnRead({ kBegin + 600ms, 600 }));
  CHECK(freshness.OnHeard({ kBegin + 800ms, 800 }));
}
