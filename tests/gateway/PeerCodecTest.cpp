#include "gateway/DecisionLog.h"
#include "gateway/PeerCall.h"
#include "gateway/PeerNote.h"

#include <doctest/doctest.h>
#include <limits>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using std::chrono::milliseconds;

TEST_CASE("a peer call round-trips, and invalid ones are refused")
{
  PeerCall call;
  call.mTarget = { 0xfeedULL };
  call.mService = "till";
  call.mCallerService = "tracker";
  call.mRoute = "r-1";
  call.mTimeRemaining = milliseconds(480);
  call.mRetryPermille = 125;
  call.mCostRequested = true;
  call.mRankPermille = 2345;
  call.mDemandRankPermille = 1987;
  call.mFinishWithin = milliseconds(-20);
  call.mCallingNode = 0xabcd;
  CHECK(DecodePeerCall(Encode(call)) == call);
  // Without a tenant the text is that of the version before tenants.
  CHECK(Encode(call) == "feed;till;tracker;r-1;480;125;1;2345;1987;-20;abcd");
  for (const char* name :
       { "acme", "a;b", "100%", "a%3Bb", "Blue Whale, Inc.", "Zo\xc3\xab" }) {
    CAPTURE(name);
    PeerCall named = call;
    named.mTenant = name;
    const std::string text = Encode(named);
    CHECK(text.find(' ') == std::string::npos);
    CHECK(DecodePeerCall(text) == named);
  }
  PeerCall least;
  least.mService = "till";
  CHECK(DecodePeerCall(Encode(least)) == least);
  // Each text below differs from this one in one place.
  CHECK(DecodePeerCall("feed;till;tracker;r-1;480;125;1;2345;1987;-20;abcd") ==
        call);
  for (const char* text :
       { "",
         "1;2;3",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20;abcd;acme;0",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20;abcd;a%3",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20;abcd;a%zz",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20;abcd;",
         "zz;till;tracker;r-1;480;125;1;2345;1987;-20;abcd",
         ";till;tracker;r-1;480;125;1;2345;1987;-20;abcd",
         "feed;;tracker;r-1;480;125;1;2345;1987;-20;abcd",
         "feed;till;tracker;r-1;x;125;1;2345;1987;-20;abcd",
         "feed;till;tracker;r-1;480;;1;2345;1987;-20;abcd",
         "feed;till;tracker;r-1;480;-1;1;2345;1987;-20;abcd",
         "feed;till;tracker;r-1;480;125;1;2.345;1987;-20;abcd",
         "feed;till;tracker;r-1;480;125;1;-1;1987;-20;abcd",
         "feed;till;tracker;r-1;480;125;1;2345;;-20;abcd",
         "feed;till;tracker;r-1;480;125;1;2345;-1987;-20;abcd",
         "feed;till;tracker;r-1;480;125;1;2345;1987;20ms;abcd",
         "feed;till;tracker;r-1;480;125;1;2345;1987;;abcd",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20;",
         "feed;till;tracker;r-1;480;125;1;2345;1987;-20;node" }) {
    CAPTURE(text);
    REQUIRE(!DecodePeerCall(text).has_value());
    CHECK(DecodePeerCall(text).error().mKind == core::ErrorKind::ProtocolError);
  }
}

TEST_CASE("the limits of the numbers of a peer call round-trip")
{
  constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
  PeerCall call;
  call.mTarget = { std::numeric_limits<std::uint64_t>::max() };
  call.mService = "till";
  call.mTimeRemaining = milliseconds::max();
  call.mRetryPermille = kMax;
  call.mRankPermille = kMax;
  call.mDemandRankPermille = kMax;
  call.mFinishWithin = milliseconds::min();
  call.mCallingNode = kMax;
  CHECK(DecodePeerCall(Encode(call)) == call);
  for (const char* text : { "10000000000000000;till;;;0;0;0;0;0;0;0",
                            "1;till;;;9223372036854775808;0;0;0;0;0;0",
                            "1;till;;;0;4294967296;0;0;0;0;0",
                            "1;till;;;0;0;0;4294967296;0;0;0",
                            "1;till;;;0;0;0;0;4294967296;0;0",
                            "1;till;;;0;0;0;0;0;-9223372036854775809;0",
                            "1;till;;;0;0;0;0;0;0;100000000" }) {
    CAPTURE(text);
    CHECK(!DecodePeerCall(text).has_value());
  }
}

TEST_CASE("a peer note round-trips")
{
  PeerNote note;
  CHECK(DecodePeerNote(Encode(note)) == note);
  note.mLoad = 1.25;
  note.mOccupancy = 3.5;
  note.mCutoff = 2.345;
  note.mWindow = 17;
  note.mDownstream = { { "dispatch", 1.25, 300 }, { "stock", 2.5, 1.5 } };
  note.mLeaving = true;
  note.mRouteVersion = 12;
  note.mQueueTime = milliseconds(35);
  note.mRunTime = milliseconds(120);
  CHECK(DecodePeerNote(Encode(note)) == note);
  note.mCost = overload::RouteCost{ { { "dispatch", 0.176 }, { "till", 0.03 } },
                                    true,
                                    false };
  note.mLoads = {
    { "dispatch", "zone-a", 1.5, 0.75, milliseconds(30) },
    { "dispatch", "zone-b", 0.5, overload::kOpenRank, milliseconds(0) },
    { overload::NameOfCalls("till", "dispatch"), "zone-a", 0, 1.2, {} }
  };
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
  CHECK(read->mCutoff == note.mCutoff);
  CHECK(read->mOccupancy == note.mOccupancy);
  CHECK(read->mWindow == note.mWindow);
  CHECK(read->mDownstream == note.mDownstream);
}

// The usual work time must cost no bytes with each response, and a wrong one
// must not exclude a server or direct all work to it.
TEST_CASE("a note carries another than the usual work time")
{
  PeerNote note;
  CHECK(Encode(note).find("f=") == std::string::npos);
  note.mWorkPercent = 137;
  CHECK(DecodePeerNote(Encode(note)) == note);
  CHECK(DecodePeerNote("l=1")->mWorkPercent == 100);
  CHECK(DecodePeerNote("l=1;f=0")->mWorkPercent == 10);
  CHECK(DecodePeerNote("l=1;f=4294967295")->mWorkPercent == 1000);
  CHECK(!DecodePeerNote("l=1;f=").has_value());
  CHECK(!DecodePeerNote("l=1;f=-1").has_value());
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
                            "l=1;t=-2",
                            "l=1;t=",
                            "l=1;o=",
                            "l=1;o=-1",
                            "l=1;r=",
                            "l=1;r=-1",
                            "l=1;r=0.5",
                            "l=1;w=",
                            "l=1;w=-1",
                            "l=1;w=4294967296",
                            "l=1;c=1,dispatch",
                            "l=1;d=dispatch:1250",
                            "l=1;d=dispatch:1250:300:1",
                            "l=1;d=dispatch:x:300",
                            "l=1;d=dispatch:1250:-1",
                            "l=1;p=dispatch:1",
                            "l=1;p=dispatch:zone-a:1500:30",
                            "l=1;p=dispatch:zone-a:1500:750:30:1",
                            "l=1;p=dispatch:zone-a:1500::30",
                            "l=1;p=dispatch:zone-a:1500:x:30",
                            "l=1;p=dispatch:zone-a:1500:-1:30",
                            "l=1;p=dispatch:zone-a:1500:750:-1",
                            "l=1;p=dispatch:zone-a:1500:750:30,",
                            "l=1;e=queue_full:not-run" }) {
    CAPTURE(text);
    CHECK(!DecodePeerNote(text).has_value());
  }
  CHECK(DecodePeerNote("l=1;s=0;v=2;z=new").has_value());
  CHECK(DecodePeerNote("l=1;e=queue_full:perhaps:0")->mError->mRun ==
        core::RunCertainty::Unknown);
}

// Guards against a node that refuses all requests because a note without a
// cutoff was taken for a cutoff of zero.
TEST_CASE("a note without a cutoff says that all requests are served")
{
  const auto open = DecodePeerNote("l=1;s=0;v=2");
  REQUIRE(open.has_value());
  CHECK(open->mCutoff == overload::kOpenRank);
  CHECK(open->mWindow == 0);
  const auto none = DecodePeerNote("l=1;r=0");
  REQUIRE(none.has_value());
  CHECK(none->mCutoff == 0);
}

TEST_CASE("the numbers of a note are limited to what is possible")
{
  const auto note = DecodePeerNote(
    "l=99999999;o=99999999;w=4294967295;p=dispatch:a:99999999:99999999:30");
  REQUIRE(note.has_value());
  CHECK(note->mLoad == 1000);
  CHECK(note->mOccupancy == 1000);
  CHECK(note->mWindow == std::numeric_limits<std::uint32_t>::max());
  REQUIRE(note->mLoads.size() == 1);
  CHECK(note->mLoads[0].mLoad == 1000);
  CHECK(note->mLoads[0].mCutoff == 1000);
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
