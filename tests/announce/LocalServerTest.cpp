#include "announce/LocalServer.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::announce;
using std::chrono::milliseconds;

namespace {

const core::Address kAddress{ "10.0.0.1", 8300 };
const core::TimePoint kStart{ std::chrono::hours(1) };

LocalServer
MakeServer()
{
  LocalServerSettings settings;
  settings.mService = "till";
  settings.mAddress = kAddress;
  return LocalServer(settings);
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

// Guards against a server that has left and is used again after its node was
// restarted: its last heartbeat can arrive seconds late, and nothing else is
// known.
TEST_CASE("a first heartbeat that a health check contradicts is not used")
{
  LocalServer server = MakeServer();
  CHECK(server.NeedsCheck());
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)));
  CHECK(server.CanStartWork(kStart));
  CHECK(server.NeedsCheck());
  CHECK(server.OnUnhealthy());
  CHECK(!server.CanStartWork(kStart));
  CHECK(server.Phase(kStart) == ServerPhase::Absent);
  // The same heartbeat, sent again, tells nothing new.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)).has_value());
  CHECK(!server.CanStartWork(kStart));
  CHECK(!server.NeedsCheck());
  // A server that lives sends another one, whatever its health check says.
  CHECK(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 6)).value());
  CHECK(server.CanStartWork(kStart));
  CHECK(!server.OnUnhealthy());
  CHECK(server.CanStartWork(kStart));
}

TEST_CASE("a health check confirms the first heartbeat")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, MakeHeartbeat("a", 100, 5)));
  CHECK(!server.OnHealthy(kStart, "a", 10));
  CHECK(!server.NeedsCheck());
  CHECK(!server.OnUnhealthy());
  CHECK(server.CanStartWork(kStart));
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
