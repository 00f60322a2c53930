#include "overload/DownstreamLimits.h"
#include "overload/CallerWindows.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

/// Responses of a server, one every 5 ms for a second.
struct Responses
{
  std::uint64_t mServer = 1;
  std::uint32_t mWindow = 0;
  int mPerStep = 1;
  milliseconds mLatency{ 21 };
  milliseconds mRunTime{ 20 };
};

core::TimePoint
Feed(DownstreamLimits& aLimits,
     const std::vector<Responses>& aServers,
     core::TimePoint aNow = kStart)
{
  for (int step = 0; step < 200; ++step) {
    aNow += milliseconds(5);
    for (const Responses& server : aServers) {
      for (int i = 0; i < server.mPerStep; ++i) {
        aLimits.OnResponse(aNow,
                           { "stock",
                             core::Incarnation{ server.mServer },
                             server.mWindow,
                             server.mLatency,
                             server.mRunTime });
      }
    }
  }
  return aNow;
}

} // namespace

// Guards against runs that are held back without a reason.
TEST_CASE("without a response there is no limit")
{
  DownstreamLimits limits;
  CHECK(!limits.LimitOf(kStart, "stock").has_value());
  const core::TimePoint now = Feed(limits, { { 1, 40 } });
  CHECK(limits.LimitOf(now, "stock") == 40);
  CHECK(!limits.LimitOf(now, "index").has_value());
}

// Guards against a flood at one server while another has room: calls spread as
// they did before.
TEST_CASE("the window of the server that gets most calls binds")
{
  DownstreamLimits limits;
  const core::TimePoint now = Feed(limits, { { 1, 30, 3 }, { 2, 30, 1 } });
  // 30 calls at the server with three quarters.
  CHECK(limits.LimitOf(now, "stock") == 40);
}

// Guards against a window that binds though few calls go to its server.
TEST_CASE("the lowest number of runs that fills one window binds")
{
  DownstreamLimits limits;
  const core::TimePoint now = Feed(limits, { { 1, 60, 3 }, { 2, 5, 1 } });
  // 5 calls at the server with a quarter, rounded up.
  const std::uint32_t limit = limits.LimitOf(now, "stock").value_or(0);
  CHECK(limit >= 20);
  CHECK(limit <= 21);
}

// Guards against a server that has just started, or that the router avoids,
// limiting the runs of all.
TEST_CASE("servers with few calls do not limit the runs")
{
  DownstreamLimits limits;
  const core::TimePoint now =
    Feed(limits, { { 1, 30, 10 }, { 2, 30, 10 }, { 3, 1, 1 } });
  const auto limit = limits.LimitOf(now, "stock");
  REQUIRE(limit.has_value());
  CHECK(*limit >= 60);
  CHECK(*limit <= 64);
}

// Guards against calls that pile up at a link or a node which is slower than
// the server.
TEST_CASE("a slow link lowers the limit")
{
  DownstreamLimits limits;
  // Up to a quarter and 10 ms more than the run time are normal.
  core::TimePoint now =
    Feed(limits, { { 1, 60, 1, milliseconds(35), milliseconds(20) } });
  CHECK(limits.LimitOf(now, "stock") == 60);
  now =
    Feed(limits, { { 1, 60, 1, milliseconds(105), milliseconds(20) } }, now);
  // Three times the normal latency.
  const std::uint32_t limit = limits.LimitOf(now, "stock").value_or(0);
  CHECK(limit >= 20);
  CHECK(limit <= 21);
  // It recovers with the link.
  now = Feed(limits, { { 1, 60, 1, milliseconds(22), milliseconds(20) } }, now);
  CHECK(limits.LimitOf(now, "stock") == 60);
}

// Guards against calls that did not run counting as very slow or very fast.
TEST_CASE("refused calls bring their window and no latency")
{
  DownstreamLimits limits;
  core::TimePoint now = Feed(limits, { { 1, 60 } });
  now = Feed(limits, { { 1, 50, 1, milliseconds(500), milliseconds(0) } }, now);
  CHECK(limits.LimitOf(now, "stock") == 50);
}

// Guards against the limit of a server that has left.
TEST_CASE("old windows are dropped")
{
  DownstreamLimits limits;
  core::TimePoint now = Feed(limits, { { 1, 10 }, { 2, 60 } });
  CHECK(limits.LimitOf(now, "stock") == 20);
  now = Feed(limits, { { 2, 60 } }, now) + milliseconds(10);
  CHECK(limits.LimitOf(now, "stock") == 60);
  now += milliseconds(1100);
  CHECK(!limits.LimitOf(now, "stock").has_value());
}

// Guards against a limit at which no run could learn that there is room again.
TEST_CASE("at least one run is allowed")
{
  DownstreamLimits limits;
  const core::TimePoint now =
    Feed(limits, { { 1, 1, 1, milliseconds(2000), milliseconds(20) } });
  CHECK(limits.LimitOf(now, "stock") == 1);
}

// Guards against one run at a time while a node that has just started does not
// know its slots.
TEST_CASE("a server whose window is not known does not limit the runs")
{
  DownstreamLimits limits;
  CHECK(!limits.LimitOf(Feed(limits, { { 1, 0 } }), "stock").has_value());
  DownstreamLimits both;
  CHECK(both.LimitOf(Feed(both, { { 1, 0 }, { 2, 30 } }), "stock") == 60);
}

// Guards against a service of many servers whose callers are not limited.
TEST_CASE("the servers of a large service limit the runs together")
{
  DownstreamLimits limits;
  std::vector<Responses> servers;
  for (std::uint64_t id = 1; id <= 20; ++id) {
    servers.push_back({ id, 10 });
  }
  CHECK(limits.LimitOf(Feed(limits, servers), "stock") == 200);
}

// Guards against runs for a server that no longer responds.
TEST_CASE("a silent server loses its share of the calls")
{
  DownstreamLimits limits;
  core::TimePoint now = Feed(limits, { { 1, 10 }, { 2, 60 } });
  CHECK(limits.LimitOf(now, "stock") == 20);
  for (int step = 0; step < 180; ++step) {
    now += milliseconds(5);
    limits.OnResponse(now,
                      { "stock",
                        core::Incarnation{ 2 },
                        60,
                        milliseconds(21),
                        milliseconds(20) });
  }
  CHECK(limits.LimitOf(now, "stock") > 60);
}

namespace {

/// Calling nodes, each with more runs to start than it may, and servers of
/// different speed. A run makes five calls in a row, each to the less occupied
/// of two servers, and works by itself for a time after each.
class ClosedLoop
{
public:
  static constexpr std::size_t kNodes = 7;
  static constexpr std::size_t kServers = 4;

  /// Servers of aSlots slots.
  explicit ClosedLoop(unsigned aSeed,
                      std::uint32_t aSlots = 250,
                      milliseconds aOwnWork = milliseconds(0))
    : mSlots(aSlots)
    , mMaxRuns(aSlots * 339 / 250 * (aOwnWork.count() > 0 ? 2 : 1))
    , mOwnWork(aOwnWork)
    , mRandom(aSeed)
  {
    constexpr std::array<int, kServers> kRunTimes = { 20, 30, 40, 60 };
    for (std::size_t i = 0; i < kServers; ++i) {
      mServers.at(i).mRunTime = milliseconds(kRunTimes.at(i));
    }
  }

  void Run(milliseconds aTime)
  {
    for (milliseconds at(0); at < aTime; at += milliseconds(1)) {
      mNow += milliseconds(1);
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        const Event event = mEvents.begin()->second;
        mEvents.erase(mEvents.begin());
        Handle(event);
      }
      if (mNow.time_since_epoch() % milliseconds(20) == core::Duration(0)) {
        for (Server& server : mServers) {
          server.mWindows.Update(mSlots, 0);
        }
        for (Node& node : mNodes) {
          node.mLimits.OnRuns(mNow, "stock", node.mRuns);
        }
      }
      for (std::size_t node = 0; node < kNodes; ++node) {
        StartRuns(node);
      }
      mProgress.push_back(InProgress());
    }
  }
  /// Mean of the calls that wait or run at the servers, as a share of the
  /// slots.
  double Use(milliseconds aLast) const
  {
    double sum = 0;
    for (auto it = mProgress.end() - aLast.count(); it != mProgress.end();
         ++it) {
      sum += *it;
    }
    return sum / static_cast<double>(aLast.count());
  }
  void SetRunTime(std::size_t aServer, milliseconds aTime)
  {
    mServers.at(aServer).mRunTime = aTime;
  }
  /// The node is killed: its calls end.
  void Vanish(std::size_t aNode)
  {
    mNodes.at(aNode).mGone = true;
    mNodes.at(aNode).mRuns = 0;
    for (Server& server : mServers) {
      std::erase_if(server.mWaiting, [&](const Event& aCall) {
        if (aCall.mNode == aNode) {
          server.mWindows.OnEnd(static_cast<std::uint32_t>(aNode + 1));
        }
        return aCall.mNode == aNode;
      });
    }
  }

private:
  static constexpr int kCalls = 5;
  static constexpr milliseconds kNetwork{ 1 };

  enum class Kind
  {
    Arrival,
    End,
    Response,
    /// The run has worked by itself after a call.
    Next,
  };
  struct Event
  {
    Kind mKind = Kind::Arrival;
    std::size_t mNode = 0;
    std::size_t mServer = 0;
    int mCall = 0;
    core::TimePoint mSent;
    core::TimePoint mArrived;
    core::Duration mQueueTime{ 0 };
    core::Duration mRunTime{ 0 };
    std::uint32_t mWindow = 0;
    double mOccupancy = 0;
  };
  struct Server
  {
    milliseconds mRunTime{ 0 };
    std::uint32_t mRunning = 0;
    std::deque<Event> mWaiting;
    CallerWindows mWindows;
  };
  struct Node
  {
    DownstreamLimits mLimits;
    std::uint32_t mRuns = 0;
    bool mGone = false;
    /// Occupancy of the servers as last reported.
    std::array<double, kServers> mOccupancy{};
  };

  double InProgress() const
  {
    double calls = 0;
    for (const Server& server : mServers) {
      calls += server.mRunning + static_cast<double>(server.mWaiting.size());
    }
    return calls / (static_cast<double>(mSlots) * kServers);
  }
  void StartRuns(std::size_t aNode)
  {
    Node& node = mNodes.at(aNode);
    if (node.mGone) {
      return;
    }
    const std::uint32_t limit = std::min(
      mMaxRuns, node.mLimits.LimitOf(mNow, "stock").value_or(mMaxRuns));
    for (; node.mRuns < limit; ++node.mRuns) {
      Call(aNode, 0);
    }
  }
  void Call(std::size_t aNode, int aCall)
  {
    const Node& node = mNodes.at(aNode);
    const std::size_t one = mRandom() % kServers;
    const std::size_t two = (one + 1 + mRandom() % (kServers - 1)) % kServers;
    Event call;
    call.mNode = aNode;
    call.mServer =
      node.mOccupancy.at(two) < node.mOccupancy.at(one) ? two : one;
    call.mCall = aCall;
    call.mSent = mNow;
    mEvents.emplace(mNow + kNetwork, call);
  }
  void Handle(const Event& aEvent)
  {
    Server& server = mServers.at(aEvent.mServer);
    const auto node_id = static_cast<std::uint32_t>(aEvent.mNode + 1);
    if (aEvent.mKind == Kind::Response) {
      OnResponse(aEvent);
      return;
    }
    if (aEvent.mKind == Kind::Next) {
      Continue(aEvent);
      return;
    }
    if (aEvent.mKind == Kind::Arrival) {
      if (mNodes.at(aEvent.mNode).mGone) {
        return;
      }
      server.mWindows.OnStart(node_id);
      server.mWaiting.push_back(aEvent);
      server.mWaiting.back().mArrived = mNow;
    } else {
      --server.mRunning;
      server.mWindows.OnEnd(node_id);
      Event response = aEvent;
      response.mKind = Kind::Response;
      response.mWindow = server.mWindows.Window();
      response.mOccupancy =
        (server.mRunning + static_cast<double>(server.mWaiting.size())) /
        mSlots;
      mEvents.emplace(mNow + kNetwork, response);
    }
    while (server.mRunning < mSlots && !server.mWaiting.empty()) {
      ++server.mRunning;
      Event end = server.mWaiting.front();
      server.mWaiting.pop_front();
      end.mKind = Kind::End;
      end.mQueueTime = mNow - end.mArrived;
      std::uniform_int_distribution<milliseconds::rep> part(
        server.mRunTime.count() / 2, server.mRunTime.count() * 3 / 2);
      end.mRunTime = milliseconds(part(mRandom));
      mEvents.emplace(mNow + end.mRunTime, end);
    }
  }
  void OnResponse(const Event& aEvent)
  {
    Node& node = mNodes.at(aEvent.mNode);
    if (node.mGone) {
      return;
    }
    node.mOccupancy.at(aEvent.mServer) = aEvent.mOccupancy;
    node.mLimits.OnResponse(mNow,
                            { "stock",
                              core::Incarnation{ aEvent.mServer + 1 },
                              aEvent.mWindow,
                              mNow - aEvent.mSent - aEvent.mQueueTime,
                              aEvent.mRunTime,
                              aEvent.mQueueTime });
    Event next = aEvent;
    next.mKind = Kind::Next;
    mEvents.emplace(mNow + mOwnWork, next);
  }
  void Continue(const Event& aEvent)
  {
    if (mNodes.at(aEvent.mNode).mGone) {
      return;
    }
    if (aEvent.mCall + 1 < kCalls) {
      Call(aEvent.mNode, aEvent.mCall + 1);
    } else {
      --mNodes.at(aEvent.mNode).mRuns;
    }
  }

  const std::uint32_t mSlots;
  const std::uint32_t mMaxRuns;
  const milliseconds mOwnWork;
  std::mt19937 mRandom;
  core::TimePoint mNow = kStart;
  std::multimap<core::TimePoint, Event> mEvents;
  std::array<Server, kServers> mServers;
  std::array<Node, kNodes> mNodes;
  std::vector<double> mProgress;
};

constexpr milliseconds kSecond{ 1000 };

/// After a second, the mean of each half second, for two seconds.
void
CheckSettled(ClosedLoop& aLoop)
{
  constexpr milliseconds kTenth{ 100 };
  aLoop.Run(kSecond);
  for (int half = 0; half < 4; ++half) {
    CAPTURE(half);
    for (int tenth = 0; tenth < 5; ++tenth) {
      CAPTURE(tenth);
      aLoop.Run(kTenth);
      CHECK(aLoop.Use(kTenth) >= 0.8);
      CHECK(aLoop.Use(kTenth) <= 1.2);
    }
    const double use = aLoop.Use(5 * kTenth);
    CHECK(use >= 0.9);
    CHECK(use <= 1.1);
  }
}

} // namespace

// Load pattern: seven nodes with 339 runs each at once, for 1,000 slots. Guards
// against calls that wait at the full service, and against idle slots.
TEST_CASE("runs above a service settle at its slots within a second")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ClosedLoop loop(seed);
    CheckSettled(loop);
  }
}

// Load pattern: a lookup works by itself for two fifths of its time, between
// its calls of a full service. Guards against requests that are refused while a
// fifth of the service's slots is idle, as on a day of 18 servers.
TEST_CASE("runs that work between their calls fill the service below, too")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ClosedLoop loop(seed, 250, milliseconds(20));
    loop.Run(2 * kSecond);
    for (int half = 0; half < 4; ++half) {
      CAPTURE(half);
      loop.Run(5 * milliseconds(100));
      CHECK(loop.Use(5 * milliseconds(100)) >= 0.9);
      CHECK(loop.Use(5 * milliseconds(100)) <= 1.1);
    }
  }
}

// Guards against more runs than the windows allow when a service is slow to
// answer: time in its queue is time in a call.
TEST_CASE("calls that wait at the service do not raise the limit")
{
  for (const milliseconds run_time : { milliseconds(20), milliseconds(0) }) {
    CAPTURE(run_time.count());
    DownstreamLimits limits;
    core::TimePoint now = kStart;
    // Ten runs, always in a call that waits nearly all the time.
    for (int step = 0; step < 600; ++step) {
      now += milliseconds(20);
      limits.OnRuns(now, "stock", 10);
      limits.OnResponse(
        now,
        { "stock",
          core::Incarnation{ 1 },
          10,
          run_time.count() > 0 ? milliseconds(21) : milliseconds(200),
          run_time,
          run_time.count() > 0 ? milliseconds(180) : milliseconds(0) });
    }
    CHECK(limits.LimitOf(now, "stock") <= 11);
  }
}

// The same with servers of 60 slots, where a call more for each calling node is
// a lot. Guards against calls that wait at the full service.
TEST_CASE("runs above a service of small servers settle at its slots, too" *
          doctest::should_fail())
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ClosedLoop loop(seed, 60);
    CheckSettled(loop);
  }
}

// The same loads, by tenths of a second. Guards against short swings that leave
// slots idle or let calls wait.
TEST_CASE("runs above a service settle in each tenth of a second" *
          doctest::should_fail())
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ClosedLoop start(seed);
    ClosedLoop slower(seed);
    slower.Run(3 * kSecond);
    slower.SetRunTime(0, milliseconds(40));
    ClosedLoop smaller(seed);
    smaller.Run(3 * kSecond);
    smaller.Vanish(2);
    for (ClosedLoop* loop : { &start, &slower, &smaller }) {
      loop->Run(kSecond);
      for (int tenth = 0; tenth < 20; ++tenth) {
        CAPTURE(tenth);
        loop->Run(milliseconds(100));
        CHECK(loop->Use(milliseconds(100)) >= 0.9);
        CHECK(loop->Use(milliseconds(100)) <= 1.1);
      }
    }
  }
}

// Guards against calls that pile up at a server that has become slow.
TEST_CASE("runs settle again after a server halves its speed")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ClosedLoop loop(seed);
    loop.Run(3 * kSecond);
    loop.SetRunTime(0, milliseconds(40));
    CheckSettled(loop);
  }
}

// Guards against slots kept for a node that has gone.
TEST_CASE("runs settle again after a calling node vanishes")
{
  for (unsigned seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    ClosedLoop loop(seed);
    loop.Run(3 * kSecond);
    loop.Vanish(2);
    CheckSettled(loop);
  }
}
