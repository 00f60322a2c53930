#include "overload/WorkQueue.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

using Ids = std::vector<std::uint64_t>;

WorkItem
Item(std::uint64_t aId,
     double aRank,
     int aDeadlineMs,
     const std::string& aDownstream = {})
{
  return { aId,
           aRank,
           aRank,
           kStart + milliseconds(aDeadlineMs),
           milliseconds(20),
           aDownstream };
}

} // namespace

// Guards against less important calls, or later ones of the same rank, that go
// first.
TEST_CASE("calls start up to the limit, then in the order of ranks")
{
  WorkQueue queue;
  queue.SetSlots(2);
  CHECK(queue.Limit() == 1);
  CHECK(queue.Offer(kStart, Item(1, 1.5, 700)).value());
  CHECK(!queue.Offer(kStart, Item(2, 1.5, 700)).value());
  CHECK(!queue.Offer(kStart, Item(3, 0.7, 600)).value());
  CHECK(!queue.Offer(kStart, Item(4, 1.5, 600)).value());
  CHECK(!queue.Offer(kStart, Item(5, 1.4, 700)).value());
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 3 });
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 5 });
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 2 });
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 4 });
  CHECK(queue.OnEnd(kStart).mToStart.empty());
  CHECK(queue.Running() == 0);
}

// Otherwise slots are wasted on calls whose callers have given up.
TEST_CASE("a call that cannot finish in time expires or is refused")
{
  WorkQueue queue;
  queue.SetSlots(2);
  REQUIRE(queue.Offer(kStart, Item(1, 1, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(2, 0, 50)).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 1, 700)).value());
  CHECK(queue.Tick(kStart + milliseconds(30)).mExpired.empty());
  CHECK(queue.Tick(kStart + milliseconds(45)).mExpired == Ids{ 2 });
  const auto late = queue.Offer(kStart + milliseconds(45), Item(4, 0, 50));
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
  REQUIRE(queue.Offer(kStart, Item(1, 1, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(2, 1, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 1, 700)).value());
  const auto full = queue.Offer(kStart, Item(4, 1, 700));
  REQUIRE(!full.has_value());
  CHECK(full.error().mKind == core::ErrorKind::QueueFull);
  queue.Remove(2);
  queue.Remove(2);
  CHECK(queue.Waiting() == 1);
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 3 });
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
          now, { ++id, 0, 0, now + milliseconds(200), typical, "" });
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
    REQUIRE(queue.Offer(kStart, Item(id, 1, 700)).value());
  }
  for (std::uint64_t id = 5; id <= 12; ++id) {
    REQUIRE(!queue.Offer(kStart, Item(id, 1, 700)).value());
  }
  CHECK(queue.SetLost(kStart, 2).mToStart == Ids{ 5, 6 });
  // At most twice the limit, whatever is reported.
  CHECK(queue.SetLost(kStart, 100).mToStart == Ids{ 7, 8 });
  CHECK(queue.Running() == 8);
  // Without lost responses, nothing starts until slots are free.
  CHECK(queue.SetLost(kStart, 0).mToStart.empty());
  for (int i = 0; i < 4; ++i) {
    CHECK(queue.OnEnd(kStart).mToStart.empty());
  }
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 9 });
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
      const auto offered = mQueue.Offer(
        mNow,
        { mNextId++, 0, 0, mNow + milliseconds(1500), milliseconds(400), "" });
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

// Guards against runs of an overloaded service that take the slots of others.
TEST_CASE("calls that call a limited service wait while others start")
{
  WorkQueue queue;
  queue.SetSlots(9);
  REQUIRE(queue.Limit() == 8);
  CHECK(queue.SetDownstreamLimit(kStart, "stock", 2).mToStart.empty());
  CHECK(queue.Offer(kStart, Item(1, 0.1, 700, "stock")).value());
  CHECK(queue.Offer(kStart, Item(2, 0.2, 700, "stock")).value());
  CHECK(!queue.Offer(kStart, Item(3, 0.3, 700, "stock")).value());
  CHECK(!queue.Offer(kStart, Item(4, 0.2, 700, "stock")).value());
  CHECK(queue.Offer(kStart, Item(5, 2.5, 700)).value());
  CHECK(queue.Offer(kStart, Item(6, 2.5, 700, "index")).value());
  CHECK(queue.Running() == 4);
  CHECK(queue.Waiting() == 2);
  // A call of another service does not free a place.
  CHECK(queue.OnEnd(kStart).mToStart.empty());
  CHECK(queue.OnEnd(kStart, "index").mToStart.empty());
  CHECK(queue.OnEnd(kStart, "stock").mToStart == Ids{ 4 });
  CHECK(queue.OnEnd(kStart, "stock").mToStart == Ids{ 3 });
  CHECK(queue.Downstream() == std::vector<std::string>{ "index", "stock" });
}

// Guards against calls that are held back after the service below has room.
TEST_CASE("a higher limit starts the calls held back, up to the slots")
{
  WorkQueue queue;
  queue.SetSlots(5);
  REQUIRE(queue.Limit() == 4);
  queue.SetDownstreamLimit(kStart, "stock", 1);
  REQUIRE(queue.Offer(kStart, Item(1, 1, 700, "stock")).value());
  for (std::uint64_t id = 2; id <= 8; ++id) {
    REQUIRE(!queue.Offer(kStart, Item(id, 1, 700, "stock")).value());
  }
  CHECK(queue.SetDownstreamLimit(kStart, "stock", 3).mToStart == Ids{ 2, 3 });
  CHECK(queue.SetDownstreamLimit(kStart, "stock", 2).mToStart.empty());
  // Above the limit: nothing starts until two have ended.
  CHECK(queue.OnEnd(kStart, "stock").mToStart.empty());
  CHECK(queue.OnEnd(kStart, "stock").mToStart == Ids{ 4 });
  CHECK(queue.SetDownstreamLimit(kStart, "stock", std::nullopt).mToStart ==
        Ids{ 5, 6 });
  CHECK(queue.Running() == 4);
}

// Guards against a call that is not limited and starts before a more important
// one that waits only because its service has had no room.
TEST_CASE("the lowest rank goes first among the services that have room")
{
  WorkQueue queue;
  queue.SetSlots(3);
  REQUIRE(queue.Limit() == 2);
  queue.SetDownstreamLimit(kStart, "stock", 1);
  REQUIRE(queue.Offer(kStart, Item(1, 1, 700, "stock")).value());
  REQUIRE(queue.Offer(kStart, Item(2, 1, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 0.2, 700, "stock")).value());
  REQUIRE(!queue.Offer(kStart, Item(4, 0.8, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(5, 0.5, 700, "index")).value());
  REQUIRE(!queue.Offer(kStart, Item(6, 0.9, 700, "index")).value());
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 5 });
  CHECK(queue.OnEnd(kStart, "stock").mToStart == Ids{ 3 });
  CHECK(queue.OnEnd(kStart, "index").mToStart == Ids{ 4 });
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 6 });
}

// Guards against a new call that takes the start which a limited rate allows
// from a more important one that waits for it.
TEST_CASE("a new call does not pass one that waits for the limited rate")
{
  WorkQueue queue;
  queue.SetSlots(21);
  queue.OnRateLimit(kStart, 10);
  REQUIRE(!queue.Offer(kStart, Item(1, 0.5, 5000)).value());
  const core::TimePoint later = kStart + milliseconds(110);
  CHECK(!queue.Offer(later, Item(2, 2.5, 5000, "stock")).value());
  CHECK(queue.Tick(later).mToStart == Ids{ 1 });
}

// Guards against calls to services below that starve: all requests that have
// begun have the same rank within a priority.
TEST_CASE("equal ranks start in the order of arrival, whatever they call")
{
  WorkQueue queue;
  queue.SetSlots(2);
  REQUIRE(queue.Offer(kStart, Item(1, 1, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(2, 1, 700, "stock")).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 1, 700)).value());
  REQUIRE(!queue.Offer(kStart, Item(4, 1, 700, "index")).value());
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 2 });
  CHECK(queue.OnEnd(kStart, "stock").mToStart == Ids{ 3 });
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 4 });
}

// Guards against slots used for requests that are lost.
TEST_CASE("a call whose request cannot finish in time is removed unrun")
{
  WorkQueue queue;
  queue.SetSlots(2);
  queue.SetDownstreamLimit(kStart, "stock", 1);
  REQUIRE(queue.Offer(kStart, Item(1, 1, 700, "stock")).value());
  REQUIRE(!queue.Offer(kStart, Item(2, 0, 50, "stock")).value());
  REQUIRE(!queue.Offer(kStart, Item(3, 0.5, 60)).value());
  REQUIRE(!queue.Offer(kStart, Item(4, 1, 700, "stock")).value());
  // Half of the typical time has to be left.
  const WorkChanges changes = queue.OnEnd(kStart + milliseconds(45), "stock");
  CHECK(changes.mExpired == Ids{ 2 });
  CHECK(changes.mToStart == Ids{ 3 });
  CHECK(queue.OnEnd(kStart + milliseconds(65)).mToStart == Ids{ 4 });
  REQUIRE(
    !queue.Offer(kStart + milliseconds(65), Item(5, 0, 100, "stock")).value());
  CHECK(queue.Tick(kStart + milliseconds(95)).mExpired == Ids{ 5 });
  CHECK(queue.Waiting() == 0);
}

namespace {

/// What the calls of a queue are ordered by.
enum class OrderBy
{
  RankOfRequest,
  Arrival,
  DueTime,
};

/// A server of 20 slots that gets requests of five calls in a row, each of
/// which takes 20 ms. A request is lost after 400 ms, or when a call is
/// refused.
class RequestsInARow
{
public:
  RequestsInARow(OrderBy aOrder, unsigned aSeed)
    : mOrder(aOrder)
    , mRandom(aSeed)
  {
    mQueue.SetSlots(22);
  }
  /// Returns the share of the runs of the last part of aTime that were for
  /// requests that completed.
  double Run(milliseconds aTime, double aDemand)
  {
    constexpr double kCapacity = 20 / 0.02 / kCalls;
    std::poisson_distribution<int> arrivals(kCapacity * aDemand / 1000);
    for (milliseconds at(0); at < aTime; at += milliseconds(1)) {
      mNow += milliseconds(1);
      while (!mEnds.empty() && mEnds.front().first <= mNow) {
        const std::uint64_t id = mEnds.front().second;
        mEnds.pop_front();
        Apply(mQueue.OnEnd(mNow));
        OnCallEnd(id);
      }
      for (int i = arrivals(mRandom); i > 0; --i) {
        mRequests.push_back({ std::generate_canonical<double, 53>(mRandom),
                              mNow + milliseconds(400) });
        Call(mRequests.size() - 1);
      }
      if (at % milliseconds(20) == milliseconds(0)) {
        Apply(mQueue.Tick(mNow));
      }
    }
    return static_cast<double>(mCompleted * kCalls) /
           static_cast<double>(mRuns);
  }
  /// Runs per run that the server can do.
  double Use(milliseconds aTime) const
  {
    return static_cast<double>(mRuns) / (static_cast<double>(aTime.count()));
  }

private:
  static constexpr int kCalls = 5;
  /// Latency objectives of the routes of the calls.
  static constexpr std::array<int, kCalls> kObjectives = { 100,
                                                           60,
                                                           150,
                                                           80,
                                                           120 };
  struct Request
  {
    double mHash = 0;
    core::TimePoint mDeadline;
    int mCallsDone = 0;
  };

  double RankOfCall(const Request& aRequest) const
  {
    const double now =
      std::chrono::duration<double, std::milli>(mNow - kStart).count();
    switch (mOrder) {
      case OrderBy::Arrival:
        return now;
      case OrderBy::DueTime:
        return now +
               kObjectives.at(static_cast<std::size_t>(aRequest.mCallsDone));
      default:
        return aRequest.mHash;
    }
  }
  void Call(std::size_t aRequest)
  {
    const Request& request = mRequests[aRequest];
    const double rank = RankOfCall(request);
    const auto later = milliseconds(20 * (kCalls - 1 - request.mCallsDone));
    const auto started = mQueue.Offer(mNow,
                                      { aRequest,
                                        rank,
                                        rank,
                                        request.mDeadline - later,
                                        milliseconds(20),
                                        "" });
    if (started && *started) {
      Start(aRequest);
    }
  }
  void Start(std::uint64_t aRequest)
  {
    ++mRuns;
    mEnds.emplace_back(mNow + milliseconds(20), aRequest);
  }
  void Apply(const WorkChanges& aChanges)
  {
    for (const std::uint64_t id : aChanges.mToStart) {
      Start(id);
    }
  }
  void OnCallEnd(std::uint64_t aRequest)
  {
    Request& request = mRequests[aRequest];
    if (mNow > request.mDeadline) {
      return;
    }
    if (++request.mCallsDone == kCalls) {
      ++mCompleted;
    } else {
      Call(aRequest);
    }
  }

  const OrderBy mOrder;
  WorkQueue mQueue;
  core::TimePoint mNow = kStart;
  std::mt19937 mRandom;
  std::vector<Request> mRequests;
  std::deque<std::pair<core::TimePoint, std::uint64_t>> mEnds;
  int mRuns = 0;
  int mCompleted = 0;
};

} // namespace

// Load pattern: twice the capacity, all of it admitted. Guards against breaking
// a part of every request: fully used, but with most of the work lost.
TEST_CASE("nearly all work of an overloaded queue goes to requests that end")
{
  constexpr milliseconds kTime(6000);
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U }) {
    CAPTURE(seed);
    RequestsInARow by_rank(OrderBy::RankOfRequest, seed);
    CHECK(by_rank.Run(kTime, 2.0) >= 0.9);
    CHECK(by_rank.Use(kTime) > 0.95);
  }
}

// The test above fails with another order.
TEST_CASE("other orders of calls lose work, so the test of the ranks is sharp")
{
  constexpr milliseconds kTime(6000);
  for (const unsigned seed : { 1U, 2U, 3U, 4U, 5U }) {
    CAPTURE(seed);
    CHECK(RequestsInARow(OrderBy::Arrival, seed).Run(kTime, 2.0) < 0.9);
    CHECK(RequestsInARow(OrderBy::DueTime, seed).Run(kTime, 2.0) < 0.9);
  }
}

// Guards against a later call of a request that has begun to be passed by calls
// of newer and less important requests.
TEST_CASE("a later call of a request goes before newer ones of a higher rank")
{
  WorkQueue queue;
  queue.SetSlots(2);
  REQUIRE(queue.Offer(kStart, Item(1, 1.3, 700)).value());
  for (std::uint64_t id = 2; id <= 6; ++id) {
    REQUIRE(
      !queue.Offer(kStart, Item(id, 1.3 + 0.1 * static_cast<double>(id), 700))
         .value());
  }
  // The request of call 1 makes its next call when that ends.
  for (std::uint64_t id = 11; id <= 14; ++id) {
    REQUIRE(!queue.Offer(kStart, Item(id, 1.3, 700)).value());
    CHECK(queue.OnEnd(kStart).mToStart == Ids{ id });
  }
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 2 });
}

// Guards against an overload of the service below that looks like one of this
// server.
TEST_CASE("calls held back for a service below are not part of the load")
{
  WorkQueue limited;
  WorkQueue open;
  for (WorkQueue* queue : { &limited, &open }) {
    queue->SetSlots(22);
    queue->SetDownstreamLimit(kStart, "stock", 5);
    for (std::uint64_t id = 1; id <= 150; ++id) {
      REQUIRE(queue->Offer(kStart, Item(id, 1, 60'000, "stock")).has_value());
    }
  }
  open.SetDownstreamLimit(kStart, "stock", std::nullopt);
  REQUIRE(limited.Running() == 5);
  REQUIRE(open.Running() == 20);
  // 5 of 20 slots in use.
  const core::TimePoint later = kStart + std::chrono::seconds(5);
  CHECK(limited.Load(later) == doctest::Approx(0.25 * 0.9));
  CHECK(open.Load(later) == doctest::Approx(0.9));
  // A backlog for slots does count: 130 calls of 20 ms in 0.7 s for 20 slots.
  const double backlog = 130 * 0.02 / 0.7 / 20;
  CHECK(open.Load(kStart) - limited.Load(kStart) ==
        doctest::Approx(backlog).epsilon(0.01));
}

// Guards against a full queue that looks free, and against a pool that is full
// behind a server that is not.
TEST_CASE("the occupancy is that of the slots or of the fullest service below")
{
  WorkQueue queue;
  CHECK(queue.Occupancy() == 0);
  queue.SetSlots(22);
  REQUIRE(queue.Limit() == 20);
  for (std::uint64_t id = 1; id <= 10; ++id) {
    REQUIRE(queue.Offer(kStart, Item(id, 1, 700)).value());
  }
  CHECK(queue.Occupancy() == doctest::Approx(0.5));
  queue.SetDownstreamLimit(kStart, "stock", 4);
  queue.SetDownstreamLimit(kStart, "index", 10);
  for (std::uint64_t id = 11; id <= 16; ++id) {
    REQUIRE(queue.Offer(kStart, Item(id, 1, 700, "stock")).has_value());
  }
  // Six of four, 4 of them running.
  CHECK(queue.Occupancy() == doctest::Approx(1.5));
  queue.SetDownstreamLimit(kStart, "stock", std::nullopt);
  CHECK(queue.Occupancy() == doctest::Approx(0.8));
  for (std::uint64_t id = 17; id <= 26; ++id) {
    REQUIRE(queue.Offer(kStart, Item(id, 1, 700)).has_value());
  }
  CHECK(queue.Occupancy() == doctest::Approx(1.3));
}

namespace {

/// Offers calls of rank 0 to 3 for 3 s, at aDemand times what the server of 20
/// slots, or its service below that allows 10, can run.
void
Overload(WorkQueue& aQueue,
         const std::string& aDownstream,
         double aDemand,
         unsigned aSeed = 7)
{
  std::mt19937 random(aSeed);
  std::poisson_distribution<int> arrivals(aDemand *
                                          (aDownstream.empty() ? 1.0 : 0.5));
  std::uniform_real_distribution<double> rank(0, 3);
  std::deque<core::TimePoint> ends;
  core::TimePoint now = kStart;
  std::uint64_t id = 0;
  const auto start = [&](std::size_t aCalls) {
    ends.insert(ends.end(), aCalls, now + milliseconds(20));
  };
  for (int ms = 0; ms < 3000; ++ms) {
    now += milliseconds(1);
    while (!ends.empty() && ends.front() <= now) {
      ends.pop_front();
      start(aQueue.OnEnd(now, aDownstream).mToStart.size());
    }
    for (int i = arrivals(random); i > 0; --i) {
      const double of_call = rank(random);
      const auto started = aQueue.Offer(now,
                                        { ++id,
                                          of_call,
                                          of_call,
                                          now + milliseconds(150),
                                          milliseconds(20),
                                          aDownstream });
      start(started && *started ? 1 : 0);
    }
    if (ms % 20 == 0) {
      start(aQueue.Tick(now).mToStart.size());
    }
  }
}

} // namespace

// Load pattern: twice the capacity, evenly over three priorities, so that calls
// up to rank 1.5 fit. Guards against requests refused everywhere because one
// service below is full, and the other way round.
TEST_CASE("slots and each service below have a cutoff of their own")
{
  WorkQueue queue;
  queue.SetSlots(22);
  SUBCASE("of the slots")
  {
    Overload(queue, "", 2.0);
    CHECK(queue.Cutoff() > 1.25);
    CHECK(queue.Cutoff() < 2.0);
    CHECK(queue.DownstreamCutoff("stock") == kOpenRank);
    CHECK(queue.DownstreamRate("stock") == 0);
  }
  SUBCASE("of a service below")
  {
    queue.SetDownstreamLimit(kStart, "stock", 10);
    Overload(queue, "stock", 2.0);
    CHECK(queue.Cutoff() == kOpenRank);
    CHECK(queue.DownstreamCutoff("stock") > 1.25);
    CHECK(queue.DownstreamCutoff("stock") < 2.0);
    CHECK(queue.DownstreamCutoff("index") == kOpenRank);
    // 1,000 calls a second are offered.
    CHECK(queue.DownstreamRate("stock") == doctest::Approx(1000).epsilon(0.15));
  }
  SUBCASE("none without an overload")
  {
    Overload(queue, "", 0.8);
    CHECK(queue.Cutoff() == kOpenRank);
  }
}

// The same load. Guards against a cutoff that admits much more than fits.
TEST_CASE("the cutoff of a queue is close to the rank that fits")
{
  for (unsigned seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    WorkQueue queue;
    queue.SetSlots(22);
    Overload(queue, "", 2.0, seed);
    CHECK(queue.Cutoff() == doctest::Approx(1.5).epsilon(0.1));
  }
}

// Guards against calls of unknown requests that shift the cutoff to the rank by
// which they were ordered.
TEST_CASE("the cutoff is measured by the rank of the demand")
{
  WorkQueue queue;
  queue.SetSlots(2);
  core::TimePoint now = kStart;
  std::uint64_t id = 0;
  REQUIRE(queue.Offer(now, Item(++id, 0.9, 60'000)).value());
  for (int i = 0; i < 40; ++i) {
    // All wait at rank 0.9 and expire, those of rank 2.5 as well.
    for (int n = 0; n < 4; ++n) {
      REQUIRE(
        !queue
           .Offer(
             now,
             { ++id, 0.9, 2.5, now + milliseconds(50), milliseconds(20), "" })
           .value());
    }
    now += milliseconds(100);
    queue.Tick(now);
  }
  CHECK(queue.Cutoff() > 2.0);
  // RankCutoff allows a hundredth of the calls, which are all within a
  // twentieth of a priority.
  CHECK(queue.Cutoff() <= 2.5 + 0.011 / 20);
}

// Guards against an important call that is refused while others wait.
TEST_CASE("a full queue removes the highest rank for a lower one")
{
  WorkQueue queue;
  queue.SetSlots(2);
  REQUIRE(queue.Offer(kStart, Item(1, 2.5, 700)).value());
  for (std::uint64_t id = 2; id <= 9; ++id) {
    const std::string downstream = id % 2 == 0 ? "stock" : "";
    REQUIRE(
      !queue.Offer(kStart, Item(id, 2.0 + 0.01 * id, 700, downstream)).value());
  }
  const auto same = queue.Offer(kStart, Item(10, 2.09, 700));
  REQUIRE(!same.has_value());
  CHECK(same.error().mKind == core::ErrorKind::QueueFull);
  CHECK(!queue.Offer(kStart, Item(11, 0.5, 700)).value());
  CHECK(!queue.Offer(kStart, Item(12, 0.5, 700)).value());
  CHECK(queue.Waiting() == 8);
  CHECK(queue.Tick(kStart).mExpired == Ids{ 9, 8 });
  CHECK(queue.Tick(kStart).mExpired.empty());
  CHECK(queue.OnEnd(kStart).mToStart == Ids{ 11 });
}

// Guards against callers that wait until their deadline for a refusal.
TEST_CASE("calls above the cutoff do not wait until their deadline")
{
  WorkQueue queue;
  queue.SetSlots(2);
  core::TimePoint now = kStart;
  std::uint64_t id = 0;
  const auto offer = [&](double aRank, double aDemandRank) {
    ++id;
    REQUIRE(!queue
               .Offer(now,
                      { id,
                        aRank,
                        aDemandRank,
                        now + milliseconds(800),
                        milliseconds(20),
                        "" })
               .value());
    return id;
  };
  REQUIRE(queue.Offer(now, Item(++id, 0.1, 60'000)).value());
  // A cutoff is known after these have expired.
  for (int i = 0; i < 4; ++i) {
    offer(1.5, 1.5);
  }
  now += milliseconds(800);
  CHECK(queue.Tick(now).mExpired.size() == 4);
  now += milliseconds(110);
  CHECK(queue.Tick(now).mExpired.empty());
  REQUIRE(queue.Cutoff() < 1.6);
  const std::uint64_t important = offer(0.5, 0.5);
  // One whose request is not known is judged by the lower rank.
  const std::uint64_t unknown = offer(0.9, 2.5);
  const std::uint64_t hopeless = offer(2.5, 2.5);
  CHECK(queue.Tick(now + milliseconds(90)).mExpired.empty());
  CHECK(queue.Tick(now + milliseconds(110)).mExpired == Ids{ hopeless });
  const Ids late = queue.Tick(now + milliseconds(795)).mExpired;
  CHECK(late.size() == 2);
  CHECK(std::count(late.begin(), late.end(), important) == 1);
  CHECK(std::count(late.begin(), late.end(), unknown) == 1);
}

// A server on which work takes twice as long has half of the capacity. Guards
// against a load, and a check for hopeless calls, that follow a change of the
// speed only after many runs.
TEST_CASE("the load and the hopeless calls go by how long work takes now")
{
  WorkQueue usual;
  WorkQueue slow;
  for (WorkQueue* queue : { &usual, &slow }) {
    queue->SetSlots(100);
    for (std::uint64_t id = 1; id <= 850; ++id) {
      REQUIRE(queue->Offer(kStart, Item(id, 1, 700)).has_value());
    }
  }
  slow.SetWorkTime(2);
  const double load = usual.Load(kStart);
  CHECK(slow.Load(kStart) == doctest::Approx(2 * load));
  CHECK(usual.Offer(kStart, Item(851, 1, 15)).has_value());
  CHECK_FALSE(slow.Offer(kStart, Item(851, 1, 15)).has_value());
}
