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
Beat(const std::string& aId, std::int64_t aStarted, std::uint64_t aSequence)
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

TEST_CASE("heartbeats of others and broken ones change nothing")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, Beat("a", 100, 1)));
  Announcement other_service = Beat("b", 200, 1);
  other_service.mService = "tracker";
  Announcement other_address = Beat("b", 200, 1);
  other_address.mAddress.mPort = 1;
  Announcement no_slots = Beat("b", 200, 1);
  no_slots.mSlots = 0;
  for (const Announcement& wrong : { other_service, other_address, no_slots }) {
    const auto result = server.OnHeartbeat(kStart, wrong);
    REQUIRE(!result.has_value());
    CHECK(result.error().mKind == core::ErrorKind::BadRequest);
    CHECK(server.Latest()->mId == "a");
  }
}

// Guards against a heartbeat that was held up by a cut link replacing the
// server that has the address now.
TEST_CASE("a late heartbeat of an earlier start does not come back")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, Beat("old", 100, 9)));
  REQUIRE(server.OnHeartbeat(kStart, Beat("new", 200, 1)));
  CHECK(!server.OnHeartbeat(kStart, Beat("old", 100, 10)).has_value());
  CHECK(!server.OnHeartbeat(kStart, Beat("new", 200, 0)).has_value());
  CHECK(server.Latest()->mId == "new");
  // The same identity started again counts from the beginning.
  CHECK(server.OnHeartbeat(kStart, Beat("new", 300, 1)).has_value());
}

// Guards against a second copy of a heartbeat, whose acknowledgement was lost,
// staying unacknowledged.
TEST_CASE("a repeated heartbeat is acknowledged")
{
  LocalServer server = MakeServer();
  Announcement leaving = Beat("a", 100, 2);
  leaving.mDraining = true;
  CHECK(server.OnHeartbeat(kStart, leaving).value());
  CHECK(server.OnHeartbeat(kStart, leaving).has_value());
  CHECK(server.Phase(kStart) == ServerPhase::Leaving);
}

TEST_CASE("a leaving server starts work for the slack only, for good")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, Beat("a", 100, 1)));
  CHECK(server.OnLeave(kStart, "a", 100));
  CHECK(server.MayStartWork(kStart + milliseconds(700)));
  CHECK(!server.MayStartWork(kStart + milliseconds(900)));
  CHECK(!server.OnHeartbeat(kStart, Beat("a", 100, 2)).has_value());
  CHECK(server.Phase(kStart) == ServerPhase::Leaving);
  // Its successor at the address serves.
  CHECK(server.OnHeartbeat(kStart, Beat("b", 300, 1)).value());
  CHECK(server.MayStartWork(kStart + milliseconds(900)));
}

// Guards against a node that was restarted taking up a server that left before.
TEST_CASE("a leave that comes before any heartbeat is remembered")
{
  LocalServer server = MakeServer();
  CHECK(!server.OnLeave(kStart, "a", 100));
  CHECK(!server.OnHeartbeat(kStart, Beat("a", 100, 5)).has_value());
  CHECK(!server.OnHealthy(kStart, "a", 10));
  CHECK(server.Phase(kStart) == ServerPhase::Absent);
  CHECK(server.OnHeartbeat(kStart, Beat("a", 200, 1)).has_value());
}

TEST_CASE("a health check counts until the first heartbeat")
{
  LocalServer server = MakeServer();
  CHECK(!server.OnHealthy(kStart, "", 10));
  CHECK(server.OnHealthy(kStart, "a", 10));
  CHECK(server.MayStartWork(kStart));
  CHECK(server.OnHeartbeat(kStart, Beat("a", 100, 7)).has_value());
  CHECK(!server.OnHealthy(kStart, "b", 10));
  CHECK(server.Latest()->mSequence == 7);
}

TEST_CASE("a server whose heartbeats stopped is absent")
{
  LocalServer server = MakeServer();
  REQUIRE(server.OnHeartbeat(kStart, Beat("a", 100, 1)));
  CHECK(server.MayStartWork(kStart + std::chrono::seconds(11)));
  CHECK(!server.MayStartWork(kStart + std::chrono::seconds(13)));
}
