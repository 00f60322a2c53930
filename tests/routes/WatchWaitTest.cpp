#include "routes/WatchWait.h"

#include <doctest/doctest.h>

using namespace nutmegrock::routes;

namespace {

/// Calls to the store per second while nothing changes, of the nodes whose rank
/// is below aEnd. Each waits at least 0.8 of its maximum.
double
CallsPerSecond(std::size_t aEnd)
{
  constexpr double kMinWaitShare = 0.8;
  double calls = 0;
  for (std::size_t rank = 0; rank < aEnd; ++rank) {
    const std::chrono::duration<double> wait = WatchWait(rank);
    calls += 1 / (wait.count() * kMinWaitShare);
  }
  return calls;
}

} // namespace

// Load pattern: no changes, 4 to 3,800 nodes. Guards against silent connections
// that are noticed only by a poll of every node, which the store's rate of
// 2,000 reads a second does not allow.
TEST_CASE("watches of any number of nodes take few calls to the store")
{
  CHECK(CallsPerSecond(4) < 6);
  CHECK(CallsPerSecond(18) < 7);
  CHECK(CallsPerSecond(96) < 12);
  CHECK(CallsPerSecond(3'800) < 400);
}

// Guards against nobody noticing a silent connection within the three seconds
// after which nodes count as in touch again, also when one of the first fails.
TEST_CASE("the first two nodes notice a silent connection within a second")
{
  CHECK(WatchWait(0) < std::chrono::seconds(1));
  CHECK(WatchWait(1) == WatchWait(0));
  // The next two take over soon.
  CHECK(WatchWait(3) < std::chrono::seconds(3));
  std::chrono::milliseconds before{ 0 };
  for (std::size_t rank = 0; rank < 40; ++rank) {
    CHECK(WatchWait(rank) >= before);
    before = WatchWait(rank);
  }
  CHECK(before == std::chrono::seconds(25));
}
