#include "announce/LocalServer.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::announce;
using std::chrono::milliseconds;

namespace {

const core::Address kAddress{ "10.0.0.1", 8300 };
const core::TimePoint kStart{ std::chrono::hours(1) };
/// kStart as wall-clock time; most servers started long before.
constexpr std::int64_t kStartMs = 1'000'000;

/// The state of a node that has run for a long time, or that started at a time.
LocalServer
MakeServer(core::TimePoint aNodeStart = {})
{
  LocalServerSettings settings;
  settings.mService = "till";
  settings.mAddress = kAddress;
  settings.mNodeStart = aNodeStart;
  settings.mNodeStartMs = kStartMs;
  return LocalServer(settings);
}

/// Sends the health checks that are due until a time, without a result. Returns
/// their number.
int
SendChecks(LocalServer& aServer, core::TimePoint aBegin, core::TimePoint aEnd)
{
  int checks = 0;
  for (core::TimePoint now = aBegin; now < aEnd; now += milliseconds(20)) {
    if (aServer.NeedsCheck(now)) {
      aServer.OnCheckSent(now);
      ++checks;
    }
  }
  return checks;
}

Announcement
MakeHeartbeat(const std::string& aId,
              std::int64_t aStarted,
              std::uint64_t aSequence)
{
  Announcement announcement;
  announcement.mId = aId;
  announcement.mService = "till";
  announcement.mAddress = kAddress;
  announcement.mSlots = 10;
  announcement.mStartedMs = aStarted;
  announcement.mSequence = aSequence;
  return announcement;
}

} // namespace

TEST_CASE("foreign and invalid heartbeats change nothing")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 1)));
  Announcement other_service = MakeHeartbeat("b", 200, 1);
  other_service.mService = "tracker";
  Announcement other_address = MakeHeartbeat("b", 200, 1);
  other_address.mAddress.mPort = 1;
  Announcement no_slots = MakeHeartbeat("b", 200, 1);
  no_slots.mSlots = 0;
  for (const Announcement& wrong : { other_service, other_address, no_slots }) {
    const auto result = server.OnHeartbeat(kStart, wrong);
    REQUIRE(!result.has_value());
    CHECK(result.error().mKind == core::ErrorKind::BadRequest);
    CHECK(server.Latest()->mId == "a");
  }
}

// Guards against a heartbeat delayed by a broken link replacing the server that
// now has the address.
TEST_CASE("a late heartbeat of an earlier start is refused")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("old", 100, 9)));
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("new", 200, 1)));
  CHECK(!server.OnHeartbeat(kStart, MakeHeartbeat("old", 100, 10)).has_value());
  CHECK(!server.OnHeartbeat(kStart, MakeHeartbeat("new", 200, 0)).has_value());
  CHECK(server.Latest()->mId == "new");
  // A restarted server with the same identity restarts its sequence.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("new", 300, 1)).has_value());
}

// Guards against a resent heartbeat, whose first acknowledgement was lost,
// staying unacknowledged.
TEST_CASE("a repeated heartbeat is acknowledged")
{
  LocalServer server = MakeServer();
  Announcement leaving = MakeHeartbeat("a", 100, 2);
  leaving.mDraining = true;
  CHECK(server.OnHeartbeat(kStart, leaving).value());
  CHECK(server.OnHeartbeat(kStart, leaving).has_value());
  CHECK(server.Phase(kStart) == ServerPhase::Leaving);
}

TEST_CASE("a leaving server starts work only during the grace period")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 1)));
  CHECK(server.OnLeave(kStart, "a", 100));
  CHECK(server.CanStartWork(kStart + milliseconds(700)));
  CHECK(!server.CanStartWork(kStart + milliseconds(900)));
  CHECK(!server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 2)).has_value());
  CHECK(server.Phase(kStart) == ServerPhase::Leaving);
  // Its successor at the same address serves.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("b", 300, 1)).value());
  CHECK(server.CanStartWork(kStart + milliseconds(900)));
}

// Guards against a restarted node accepting a server that left before.
TEST_CASE("a leave that comes before any heartbeat is remembered")
{
  LocalServer server = MakeServer();
  CHECK(!server.OnLeave(kStart, "a", 100));
  CHECK(!server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)).has_value());
  CHECK(!server.OnHealthy(kStart, "a", 10));
  CHECK(server.Phase(kStart) == ServerPhase::Absent);
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 200, 1)).has_value());
}

// Guards against a leave that is acknowledged and ignored after a restart of
// the node: a health check does not tell when the server started.
TEST_CASE("a server known from a health check leaves")
{
  for (const std::int64_t started : { std::int64_t{ 0 }, kStartMs - 5'000 }) {
    CAPTURE(started);
    LocalServer server = MakeServer(kStart);
    REQUIRE(server.OnHealthy(kStart, "a", 10));
    CHECK(server.OnLeave(kStart, "a", started));
    CHECK(server.Phase(kStart) == ServerPhase::Leaving);
    CHECK(server.CanStartWork(kStart + milliseconds(700)));
    CHECK(!server.CanStartWork(kStart + milliseconds(900)));
    // Neither a check that was sent before nor a late heartbeat brings it back.
    const core::TimePoint later = kStart + std::chrono::seconds(1);
    CHECK(!server.OnHealthy(later, "a", 10));
    CHECK(!server.OnHeartbeat(later, MakeHeartbeat("a", kStartMs - 5'000, 7))
             .has_value());
    CHECK(server.Phase(later) == ServerPhase::Leaving);
    CHECK(!server.CanStartWork(later));
    // Its next start under the same identity serves.
    CHECK(server.OnHeartbeat(later, MakeHeartbeat("a", kStartMs + 500, 1))
            .has_value());
    CHECK(server.CanStartWork(later));
  }
}

// Guards against a leave that ends a later start of the same identity, and one
// that is ignored because the start that leaves was not known yet.
TEST_CASE("a leave counts for its start and those before")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 200, 1)));
  CHECK(!server.OnLeave(kStart, "a", 100));
  CHECK(server.CanStartWork(kStart));
  CHECK(server.OnLeave(kStart, "a", 300));
  CHECK(server.Phase(kStart) == ServerPhase::Leaving);
  CHECK(!server.OnHeartbeat(kStart, MakeHeartbeat("a", 300, 1)).has_value());
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 301, 1)).has_value());
}

// Guards against a server that has left and is used again after its node was
// restarted: its last heartbeats can arrive seconds late, and nothing else is
// known.
TEST_CASE("a first heartbeat that a health check contradicts is not used")
{
  LocalServer server = MakeServer(kStart);
  CHECK(server.NeedsCheck(kStart));
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)));
  // Not used before the check has had its result either.
  CHECK(!server.CanStartWork(kStart));
  CHECK(server.NeedsCheck(kStart));
  CHECK(server.OnUnhealthy(kStart, ""));
  CHECK(!server.CanStartWork(kStart));
  CHECK(server.Phase(kStart) == ServerPhase::Absent);
  // The same heartbeat, sent again, tells nothing new.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)).has_value());
  CHECK(!server.CanStartWork(kStart));
  CHECK(!server.NeedsCheck(kStart));
  // Another one may be late, too, and is checked.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 6)).has_value());
  CHECK(!server.CanStartWork(kStart));
  CHECK(server.NeedsCheck(kStart));
  CHECK(server.OnUnhealthy(kStart, ""));
  // A server that lives sends others, whatever its health check says.
  const core::TimePoint later = kStart + std::chrono::seconds(11);
  CHECK(server.OnHeartbeat(later, MakeHeartbeat("a", 100, 7)).value());
  CHECK(server.CanStartWork(later));
  CHECK(!server.OnUnhealthy(kStart, ""));
  CHECK(server.CanStartWork(later));
}

// Guards against a late heartbeat that is taken unchecked because the checks of
// the node's start were used up before it arrived.
TEST_CASE("a late heartbeat is checked however long after the start it comes")
{
  for (const milliseconds delay : { milliseconds(0),
                                    milliseconds(20),
                                    milliseconds(1'300),
                                    milliseconds(1'900),
                                    milliseconds(5'000),
                                    milliseconds(9'000) }) {
    CAPTURE(delay.count());
    LocalServer server = MakeServer(kStart);
    const core::TimePoint arrival = kStart + delay;
    const int before = SendChecks(server, kStart, arrival);
    CHECK(before <= 3);
    REQUIRE(server.OnHeartbeat(arrival, MakeHeartbeat("a", 100, 5)));
    CHECK(!server.CanStartWork(arrival));
    // At once, so that a server in operation is used without a delay.
    CHECK(server.NeedsCheck(arrival));
    CHECK(SendChecks(server, arrival, arrival + milliseconds(400)) == 1);
    CHECK(server.OnUnhealthy(kStart, ""));
    CHECK(server.Phase(arrival + std::chrono::seconds(3)) ==
          ServerPhase::Absent);
  }
}

TEST_CASE("a server that answers no health check is used after some seconds")
{
  LocalServer server = MakeServer(kStart);
  CHECK(SendChecks(server, kStart, kStart + std::chrono::seconds(4)) == 3);
  const core::TimePoint arrival = kStart + std::chrono::seconds(4);
  REQUIRE(server.OnHeartbeat(arrival, MakeHeartbeat("a", 100, 5)));
  // A further heartbeat does not start its checks anew.
  CHECK(SendChecks(server, arrival, arrival + milliseconds(700)) == 2);
  CHECK(server.OnHeartbeat(arrival + milliseconds(700),
                           MakeHeartbeat("a", 100, 6)));
  CHECK(SendChecks(server,
                   arrival + milliseconds(700),
                   arrival + std::chrono::seconds(3)) == 1);
  CHECK(!server.CanStartWork(arrival + milliseconds(2'700)));
  CHECK(server.CanStartWork(arrival + milliseconds(2'900)));
}

TEST_CASE("a health check confirms the first heartbeat")
{
  LocalServer server = MakeServer(kStart);
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)));
  CHECK(server.OnHealthy(kStart, "a", 10));
  CHECK(!server.NeedsCheck(kStart));
  CHECK(!server.OnUnhealthy(kStart, ""));
  CHECK(server.CanStartWork(kStart));
  // Also those that follow.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 6)).has_value());
  CHECK(server.CanStartWork(kStart));
}

// Load pattern: all machines lose power and start again while their callers
// wait. Guards against servers that are used only after a health check although
// they cannot have left, and against the wave of refusals that follows.
TEST_CASE("a server that started with its node needs no health check")
{
  for (const std::int64_t started : { kStartMs - 1'500, kStartMs + 300 }) {
    LocalServer server = MakeServer(kStart);
    REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", started, 1)));
    CHECK(server.CanStartWork(kStart));
    CHECK(!server.NeedsCheck(kStart));
  }
  // An older one, and one that does not tell its start, may have left.
  for (const std::int64_t started : { kStartMs - 2'500, std::int64_t{ 0 } }) {
    LocalServer server = MakeServer(kStart);
    REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", started, 1)));
    CHECK(!server.CanStartWork(kStart));
    CHECK(server.NeedsCheck(kStart));
  }
}

// Guards against a late heartbeat of a predecessor at the same address, after
// which the server that is there gets requests meant for the other.
TEST_CASE("a health check tells which server is at the address")
{
  LocalServer server = MakeServer(kStart);
  CHECK(server.OnHealthy(kStart, "new", 10));
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("old", 100, 9)));
  // The server that the check has named stays in use until the next one.
  CHECK(server.CanStartWork(kStart));
  CHECK(server.Latest()->mId == "new");
  CHECK(server.NeedsCheck(kStart));
  CHECK(!server.OnHealthy(kStart, "new", 10));
  CHECK(!server.NeedsCheck(kStart));
  CHECK(server.CanStartWork(kStart));
  CHECK(server.Latest()->mId == "new");

  // The late heartbeat comes first.
  LocalServer other = MakeServer(kStart);
  REQUIRE(other.OnHeartbeat(kStart, MakeHeartbeat("old", 100, 9)));
  CHECK(!other.CanStartWork(kStart));
  CHECK(other.OnHealthy(kStart, "new", 10));
  CHECK(other.CanStartWork(kStart));
  CHECK(other.Latest()->mId == "new");
}

// Guards against a service without a server: a heartbeat of another writer,
// with a later start, took the place of the server that was there, whose
// heartbeats counted as late from then on.
TEST_CASE("a server that is proven to be there is not displaced by a heartbeat")
{
  for (const bool by_answer : { false, true }) {
    CAPTURE(by_answer);
    LocalServer server = MakeServer();
    REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 1)));
    if (by_answer) {
      server.OnAnswer(kStart);
    } else {
      server.OnHealthy(kStart, "a", 10);
    }
    CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("b", 200, 1)) == false);
    CHECK(server.Latest()->mId == "a");
    CHECK(server.CanStartWork(kStart));
    CHECK(server.NeedsCheck(kStart));
    // Its heartbeats and answers go on.
    const core::TimePoint later = kStart + milliseconds(500);
    CHECK(server.OnHeartbeat(later, MakeHeartbeat("a", 100, 2)).has_value());
    server.OnAnswer(later);
    CHECK(!server.Tick(later + std::chrono::seconds(5)));
    CHECK(server.Latest()->mId == "a");
  }
}

// Guards against a replacement that waits for the end of the heartbeats of the
// server before it.
TEST_CASE("a replacement is used after a check, a wrong answer or a second")
{
  for (const int way : { 0, 1, 2, 3 }) {
    CAPTURE(way);
    LocalServer server = MakeServer();
    REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 1)));
    server.OnAnswer(kStart);
    REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("b", 200, 1)));
    core::TimePoint now = kStart;
    if (way == 0) {
      CHECK(server.OnHealthy(now, "b", 0));
    } else if (way == 1) {
      CHECK(server.OnContradicted(now));
    } else if (way == 2) {
      CHECK(server.OnUnhealthy(now, "b"));
    } else {
      CHECK(SendChecks(server, now, now + milliseconds(1'300)) == 3);
      now += milliseconds(1'300);
      CHECK(server.Tick(now));
    }
    CHECK(server.Latest()->mId == "b");
    CHECK(server.Latest()->mSlots == 10);
    CHECK(server.CanStartWork(now));
    CHECK(!server.OnHeartbeat(now, MakeHeartbeat("a", 100, 2)).has_value());
    CHECK(server.Latest()->mId == "b");
  }
}

// Guards against a node that refuses all calls because it believes in another
// server than the one that is there.
TEST_CASE("an answer of another server makes a check due")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("foreign", 900, 1)));
  CHECK(!server.NeedsCheck(kStart));
  CHECK(!server.OnContradicted(kStart));
  CHECK(server.NeedsCheck(kStart));
  CHECK(server.OnHealthy(kStart, "a", 10));
  CHECK(server.Latest()->mId == "a");
  CHECK(server.CanStartWork(kStart));
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)).has_value());
}

// Guards against the same where the health check does not tell the slots.
TEST_CASE(
  "a heartbeat with an earlier start counts if a check names its server")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("foreign", 900, 1)));
  CHECK(!server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)).has_value());
  CHECK(server.Latest()->mId == "foreign");
  CHECK(server.NeedsCheck(kStart));
  CHECK(server.OnHealthy(kStart, "a", 0));
  CHECK(server.Latest()->mId == "a");
  CHECK(server.CanStartWork(kStart));
}

// Guards against a server that counts as absent because the heartbeat of
// another writer had a later start or a higher number.
TEST_CASE("a check shows that a server with late heartbeats is there")
{
  for (const std::int64_t started : { 100, 900 }) {
    LocalServer server = MakeServer();
    REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", started, 1'000)));
    for (int second = 1; second <= 30; ++second) {
      const core::TimePoint now = kStart + std::chrono::seconds(second);
      CHECK(!server.OnHeartbeat(now, MakeHeartbeat("a", 100, second)));
      if (server.NeedsCheck(now)) {
        server.OnCheckSent(now);
        server.OnHealthy(now, "a", 10);
      }
      CHECK(server.CanStartWork(now));
    }
  }
}

TEST_CASE("a health check counts until the first heartbeat")
{
  LocalServer server = MakeServer();
  CHECK(!server.OnHealthy(kStart, "", 10));
  CHECK(server.OnHealthy(kStart, "a", 10));
  CHECK(server.CanStartWork(kStart));
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 7)).has_value());
  CHECK(!server.OnHealthy(kStart, "b", 10));
  CHECK(server.Latest()->mSequence == 7);
}

TEST_CASE("a server whose heartbeats stopped is absent")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 1)));
  CHECK(server.CanStartWork(kStart + std::chrono::seconds(11)));
  CHECK(!server.CanStartWork(kStart + std::chrono::seconds(13)));
}

// Guards against a changed time to drain that a running node does not follow.
TEST_CASE("a changed grace period holds for a leave in progress")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 1)));
  CHECK(server.OnLeave(kStart, "a", 100));
  const core::TimePoint later = kStart + milliseconds(500);
  CHECK(server.CanStartWork(later));
  server.SetLeaveGracePeriod(milliseconds(400));
  CHECK(!server.CanStartWork(later));
}
