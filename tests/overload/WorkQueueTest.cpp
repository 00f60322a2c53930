#include "overload/WorkQueue.h"

#include <doctest/doctest.h>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

WorkItem
Item(std::uint64_t aId, int aDueMs, int aDeadlineMs)
{
  return { aId,
           kStart + milliseconds(aDueMs),
           kStart + milliseconds(aDeadlineMs),
           milliseconds(20) };
}

} // namespace

TEST_CASE("calls start up to the limit, then the one that is due first")
{
  WorkQueue queue;
  queue.SetSlots(2);
  CHECK(queue.Limit() == 1);
  CHECK(queue.Offer(kStart, Item(1, 300, 700)).value());
  CHECK(!queue.Offer(kStart, Item(2, 300, 700)).value());
  CHECK(!queue.Offer(kStart, Item(3, 150, 600)).value());
  CHECK(queue.OnEnd(kStart).mToStart == std::vector<std::uint64_t>{ 3 });
  CHECK(queue.OnEnd(kStart).mToStart == std::vector<std::uint64_t>{ 2 });
  CHECK(queue.OnEnd(kStart).mToStart.empty());
  CHECK(queue.Running() == 0);
}

// Guards against slots spent on calls whose callers have given up.
TEST_CASE("a call that cannot end in time leaves early or is not taken")
{
  WorkQueue queue;
  queue.SetSlots(2);
  REQUIRE(queue.Offer(kStart, Item(1, 300, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(2, 10, 50)).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 300, 700)).value());
  CHECK(queue.Tick(kStart + milliseconds(30)).mExpired.empty());
  CHECK(queue.Tick(kStart + milliseconds(45)).mExpired ==
        std::vector<std::uint64_t>{ 2 });
  const auto late = queue.Offer(kStart + milliseconds(45), Item(4, 10, 50));
  REQUIRE(!late.has_value());
  CHECK(late.error().mKind == core::ErrorKind::QueueTimeout);
  CHECK(late.error().mRun == core::RunCertainty::NotRun);
}

TEST_CASE("the queue is bounded and a withdrawn call is forgotten")
{
  WorkQueueSettings settings;
  settings.mMaxWaiting = 2;
  WorkQueue queue(settings);
  queue.SetSlots(2);
  REQUIRE(queue.Offer(kStart, Item(1, 300, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(2, 300, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 300, 700)).value());
  const auto full = queue.Offer(kStart, Item(4, 300, 700));
  REQUIRE(!full.has_value());
  CHECK(full.error().mKind == core::ErrorKind::QueueFull);
  queue.Remove(2);
  queue.Remove(2);
  CHECK(queue.Waiting() == 1);
  CHECK(queue.OnEnd(kStart).mToStart == std::vector<std::uint64_t>{ 3 });
}

// Load pattern: steady demand at a given multiple of what the server does.
// Guards against a reported load that integrates an overload, which made the
// entry shed far too much.
TEST_CASE("the load is proportional to the demand")
{
  for (const double demand : { 0.5, 0.9, 1.5 }) {
    CAPTURE(demand);
    WorkQueue queue;
    queue.SetSlots(21);
    const auto usual = milliseconds(20);
    // 20 slots of 20 ms do 1,000 calls a second; each runs for its usual time.
    std::vector<core::TimePoint> ends;
    double arrived = 0;
    core::TimePoint now = kStart;
    std::uint64_t id = 0;
    double sum = 0;
    int samples = 0;
    for (int ms = 0; ms < 3000; ++ms) {
      now += milliseconds(1);
      std::size_t ended = 0;
      std::erase_if(ends, [&](core::TimePoint aEnd) {
        ended += aEnd <= now ? 1 : 0;
        return aEnd <= now;
      });
      for (; ended > 0; --ended) {
        for (std::size_t i = queue.OnEnd(now).mToStart.size(); i > 0; --i) {
          ends.push_back(now + usual);
        }
      }
      for (arrived += queue.Limit() / 20.0 * demand; arrived >= 1; --arrived) {
        const auto started = queue.Offer(
          now, { ++id, now + usual, now + milliseconds(200), usual });
        if (started && *started) {
          ends.push_back(now + usual);
        }
      }
      for (std::size_t i = queue.Tick(now).mToStart.size(); i > 0; --i) {
        ends.push_back(now + usual);
      }
      if (ms > 2000) {
        sum += queue.Load(now);
        ++samples;
      }
    }
    // A backlog of 200 ms at most counts as half of a load beside the demand.
    CHECK(sum / samples >= demand * 0.9);
    CHECK(sum / samples <= demand + 0.55);
  }
}

// Load pattern: the server loses the answers of a third of the calls, which
// then hang until their time limit. Guards against a queue that fills since it
// takes them for running, and against a wrong report that floods the server.
TEST_CASE("slots of calls whose answers are lost are used again")
{
  WorkQueue queue;
  queue.SetSlots(5);
  REQUIRE(queue.Limit() == 4);
  for (std::uint64_t id = 1; id <= 4; ++id) {
    REQUIRE(queue.Offer(kStart, Item(id, 300, 700)).value());
  }
  for (std::uint64_t id = 5; id <= 12; ++id) {
    REQUIRE(!queue.Offer(kStart, Item(id, 300, 700)).value());
  }
  CHECK(queue.SetLost(kStart, 2).mToStart ==
        std::vector<std::uint64_t>{ 5, 6 });
  // At most twice the usual work, whatever is said.
  CHECK(queue.SetLost(kStart, 100).mToStart ==
        std::vector<std::uint64_t>{ 7, 8 });
  CHECK(queue.Running() == 8);
  // Once nothing is lost any more, nothing starts until slots are free.
  CHECK(queue.SetLost(kStart, 0).mToStart.empty());
  for (int i = 0; i < 4; ++i) {
    CHECK(queue.OnEnd(kStart).mToStart.empty());
  }
  CHECK(queue.OnEnd(kStart).mToStart == std::vector<std::uint64_t>{ 9 });
}
