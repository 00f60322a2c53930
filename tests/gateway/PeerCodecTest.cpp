#include "gateway/DecisionLog.h"
#include "gateway/PeerCall.h"
#include "gateway/PeerNote.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using std::chrono::milliseconds;

TEST_CASE("a peer call round-trips, and invalid ones are refused")
{
  const PeerCall call{
    { 0xfeedULL },     "till", "tracker", "r-1", milliseconds(-20),
    milliseconds(480), 125
  };
  CHECK(DecodePeerCall(Encode(call)) == call);
  for (const char* text : { "",
                            "1;2;3",
                            "zz;till;tracker;r-1;1;2;3;0",
                            "1;;tracker;r-1;1;2;3;0",
                            "1;till;tracker;r-1;x;2;3;0",
                            "1;till;tracker;r-1;1;2;3;0;4" }) {
    CAPTURE(text);
    REQUIRE(!DecodePeerCall(text).has_value());
    CHECK(DecodePeerCall(text).error().mKind == core::ErrorKind::ProtocolError);
  }
}

TEST_CASE("a peer note round-trips")
{
  PeerNote note;
  note.mLoad = 1.25;
  note.mLeaving = true;
  note.mRouteVersion = 12;
  note.mQueueTime = milliseconds(35);
  CHECK(DecodePeerNote(Encode(note)) == note);
  note.mCost = overload::RouteCost{ { { "dispatch", 0.176 }, { "till", 0.03 } },
                                    true,
                                    false };
  note.mLoads = { { "dispatch", "zone-a", 1.5, milliseconds(30) } };
  CHECK(DecodePeerNote(Encode(note)) == note);
  note.mCost->mInternal.reset();
  CHECK(DecodePeerNote(Encode(note)) == note);
  core::Error error =
    core::MakeError(core::ErrorKind::QueueFull, "at the serving node");
  error.mRetryAfter = milliseconds(70);
  note.mError = error;
  const auto read = DecodePeerNote(Encode(note));
  REQUIRE(read.has_value());
  CHECK(read->mError->mKind == core::ErrorKind::QueueFull);
  CHECK(read->mError->mRun == core::RunCertainty::NotRun);
  CHECK(read->mError->mRetryAfter == milliseconds(70));
}

// Guards against interpreting a truncated note as proof that a request has not
// run.
TEST_CASE("an invalid note is refused, an unknown field is ignored")
{
  for (const char* text : { "",
                            "l",
                            "l=x",
                            "l=1;v=",
                            "l=1;q=-2",
                            "l=1;c=1,dispatch",
                            "l=1;p=dispatch:1",
                            "l=1;e=queue_full:not-run" }) {
    CAPTURE(text);
    CHECK(!DecodePeerNote(text).has_value());
  }
  CHECK(DecodePeerNote("l=1;s=0;v=2;z=new").has_value());
  CHECK(DecodePeerNote("l=1;e=queue_full:perhaps:0")->mError->mRun ==
        core::RunCertainty::Unknown);
}

TEST_CASE("lines about requests are limited in rate")
{
  const core::TimePoint start{ std::chrono::hours(1) };
  DecisionLog log({ 10, 20, 100 }, [](std::string_view) {});
  int written = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    written += log.ShouldLogRequest(start + milliseconds(ms)) ? 1 : 0;
  }
  CHECK(written >= 110);
  CHECK(written <= 121);
  CHECK(log.Dropped() == 10'000U - written);
}
