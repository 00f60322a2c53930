#include "overload/WorkQueue.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <optional>
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

TEST_CASE("calls start up to the limit, then in the order of due times")
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

// Otherwise slots are wasted on calls whose callers have given up.
TEST_CASE("a call that cannot finish in time expires or is refused")
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

TEST_CASE("the queue is bounded and a removed call does not start")
{
  WorkQueueSettings settings;
  settings.mMaxWaitingRatio = 2;
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

// Steady demand at a given multiple of the capacity. A reported load that
// integrates an overload made the entry node shed far too much.
TEST_CASE("the load is proportional to the demand")
{
  for (const double demand : { 0.5, 0.9, 1.5 }) {
    CAPTURE(demand);
    WorkQueue queue;
    queue.SetSlots(21);
    const auto typical = milliseconds(20);
    // 20 slots of 20 ms complete 1,000 calls/s; each runs for its typical time.
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
          ends.push_back(now + typical);
        }
      }
      for (arrived += queue.Limit() / 20.0 * demand; arrived >= 1; --arrived) {
        const auto started = queue.Offer(
          now, { ++id, now + typical, now + milliseconds(200), typical });
        if (started && *started) {
          ends.push_back(now + typical);
        }
      }
      for (std::size_t i = queue.Tick(now).mToStart.size(); i > 0; --i) {
        ends.push_back(now + typical);
      }
      if (ms > 2000) {
        sum += queue.Load(now);
        ++samples;
      }
    }
    // A backlog of at most 200 ms adds at most 0.5 to the demand.
    CHECK(sum / samples >= demand * 0.9);
    CHECK(sum / samples <= demand + 0.55);
  }
}

// The server loses the responses of a third of the calls, which then hang until
// their timeout. The queue must not fill because it counts them as running, and
// a wrong report must not overload the server.
TEST_CASE("slots of calls whose responses are lost are reused")
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
  // At most twice the limit, whatever is reported.
  CHECK(queue.SetLost(kStart, 100).mToStart ==
        std::vector<std::uint64_t>{ 7, 8 });
  CHECK(queue.Running() == 8);
  // Without lost responses, nothing starts until slots are free.
  CHECK(queue.SetLost(kStart, 0).mToStart.empty());
  for (int i = 0; i < 4; ++i) {
    CHECK(queue.OnEnd(kStart).mToStart.empty());
  }
  CHECK(queue.OnEnd(kStart).mToStart == std::vector<std::uint64_t>{ 9 });
}

namespace {

/// Offers a call every 5 ms at a server of 200 slots, each of which runs for
/// 400 ms, and counts the starts.
struct LimitedServer
{
  WorkQueue mQueue;
  core::TimePoint mNow = kStart;
  std::uint64_t mNextId = 1;
  std::vector<core::TimePoint> mStarts;
  std::deque<core::TimePoint> mEnds;

  LimitedServer() { mQueue.SetSlots(200); }

  void Run(milliseconds aTime)
  {
    constexpr milliseconds kStep(5);
    for (milliseconds at(0); at < aTime; at += kStep) {
      mNow += kStep;
      while (!mEnds.empty() && mEnds.front() <= mNow) {
        mEnds.pop_front();
        Start(mQueue.OnEnd(mNow).mToStart.size());
      }
      Start(mQueue.Tick(mNow).mToStart.size());
      const auto offered = mQueue.Offer(mNow,
                                        { mNextId++,
                                          mNow + milliseconds(1000),
                                          mNow + milliseconds(1500),
                                          milliseconds(400) });
      Start(offered && *offered ? 1 : 0);
    }
  }
  void Start(std::size_t aCalls)
  {
    for (std::size_t i = 0; i < aCalls; ++i) {
      mStarts.push_back(mNow);
      mEnds.push_back(mNow + milliseconds(400));
    }
  }
  /// Most starts in any span of that length.
  std::size_t MostIn(milliseconds aSpan) const
  {
    std::size_t most = 0;
    for (auto first = mStarts.begin(); first != mStarts.end(); ++first) {
      const auto end = std::upper_bound(first, mStarts.end(), *first + aSpan);
      most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
  }
};

} // namespace

// Load pattern: a server with 200 slots names a rate of 40 calls per second and
// gets 200. Guards against more calls than the server takes, and against a
// server that gets far fewer.
TEST_CASE("a server gets the rate of calls that it names and no more")
{
  LimitedServer server;
  server.mQueue.OnRateLimit(server.mNow, 40);
  server.Run(milliseconds(12'000));
  CHECK(server.MostIn(milliseconds(4000)) <= 4 * 40 * 1.5 + 5);
  CHECK(server.mStarts.size() >= 12 * 40 * 0.95);
  CHECK(server.mQueue.Load(server.mNow) > 3);
  // 40 calls per second of 0.4 s use 16 slots.
  CHECK(server.mQueue.UsableSlots(200) == 16);
}

// Guards against a flood by all waiting calls when an answer that was sent
// before the limit arrives late.
TEST_CASE("an answer that was overtaken does not end the limit")
{
  LimitedServer server;
  for (int i = 0; i < 40; ++i) {
    server.mQueue.OnRateLimit(server.mNow, 40);
    server.mQueue.OnRateLimit(server.mNow, std::nullopt);
    server.Run(milliseconds(100));
  }
  CHECK(server.MostIn(milliseconds(4000)) <= 4 * 40 * 1.5 + 5);
  server.mQueue.OnRateLimit(server.mNow, std::nullopt);
  server.Run(milliseconds(500));
  server.mQueue.OnRateLimit(server.mNow, std::nullopt);
  CHECK_FALSE(server.mQueue.RateLimit().has_value());
  CHECK(server.mQueue.UsableSlots(200) == 200);
  const std::size_t before = server.mStarts.size();
  server.Run(milliseconds(2000));
  CHECK(server.mStarts.size() - before > 300);
}

// Otherwise a server that named a rate of zero would never get a call whose
// answer ends the limit.
TEST_CASE("a server that takes no calls still gets one now and then")
{
  LimitedServer server;
  server.mQueue.OnRateLimit(server.mNow, 0);
  server.Run(milliseconds(8000));
  CHECK(server.mStarts.size() >= 2);
  CHECK(server.MostIn(milliseconds(4000)) <= 5);
}
