#include "transport/peer/PeerCodec.h"
#include "tests/transport/Peers.h"
#include "transport/peer/PeerAuthenticator.h"
#include "transport/peer/PeerLimits.h"

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;
using namespace nutmegrock::transport::peer;

namespace {

const core::TimePoint kNow{ std::chrono::hours(5) };

gen::CallStart
ValidStart()
{
  return PeerCodec::ToWire(
    MakePeerCall({}, kNow + std::chrono::milliseconds(40)), kNow);
}

std::string
FrameBytes()
{
  gen::PeerFrame frame;
  frame.call = 9;
  frame.payload.__set_call(ValidStart());
  std::string bytes;
  REQUIRE(PeerCodec::Append(frame, bytes));
  return bytes.substr(4);
}

} // namespace

TEST_SUITE("transport/peer codec")
{
  TEST_CASE("calls, responses, feedback and errors round-trip")
  {
    auto call = MakePeerCall({}, kNow + std::chrono::milliseconds(40));
    call.mCall.mHead.mHeaders = { { "X-A", "1" }, { "X-A", "2" } };
    call.mCall.mHead.mBodySize = 7;
    auto wire = PeerCodec::ToWire(call, kNow);
    // The clocks of two nodes differ, so only the remaining time matters.
    const core::TimePoint there = kNow + std::chrono::hours(3);
    const auto read = PeerCodec::FromWire(wire, there);
    REQUIRE(read.has_value());
    call.mContext.mDeadline = there + std::chrono::milliseconds(40);
    CHECK(read->mTarget == call.mTarget);
    CHECK(read->mService == call.mService);
    CHECK(read->mContext == call.mContext);
    CHECK(read->mCall.mHead == call.mCall.mHead);

    const ResponseHead head{ 404, { { "X-B", "3" } }, std::nullopt };
    auto response = PeerCodec::ToWire(head);
    CHECK(PeerCodec::FromWire(response) == head);

    core::CallFeedback feedback;
    feedback.mLevel = { core::Importance::High, 127 };
    feedback.mDownstreamLevel = { core::Importance::Low, 0 };
    feedback.mLoadPermille = 1500;
    feedback.mBudgetReturned = 4;
    CHECK(PeerCodec::FromWire(PeerCodec::ToWire(feedback)) == feedback);

    for (const core::ErrorRow& row : core::ErrorTable()) {
      auto error = core::MakeError(row.mKind, "text");
      error.mRetryAfter = std::chrono::milliseconds(30);
      CHECK(PeerCodec::FromWire(PeerCodec::ToWire(error)) == error);
    }
  }

  TEST_CASE("a deadline that has passed is sent as no remaining time")
  {
    const auto call = MakePeerCall({}, kNow - std::chrono::seconds(1));
    CHECK(PeerCodec::ToWire(call, kNow).context.deadline_us == 0);
    const auto far = MakePeerCall({}, core::TimePoint::max());
    auto wire = PeerCodec::ToWire(far, kNow);
    CHECK(PeerCodec::FromWire(wire, kNow).has_value());
  }

  // A node that accepted such values would run work beyond what any profile
  // allows.
  TEST_CASE("calls with invalid values are protocol errors")
  {
    struct Case
    {
      const char* mName;
      std::function<void(gen::CallStart&)> mBreak;
    };
    const std::vector<Case> cases = {
      { "negative deadline",
        [](auto& aCall) { aCall.context.deadline_us = -1; } },
      { "deadline in years",
        [](auto& aCall) { aCall.context.deadline_us = 1LL << 60; } },
      { "negative wait", [](auto& aCall) { aCall.context.max_wait_us = -5; } },
      { "unknown importance",
        [](auto& aCall) { aCall.context.importance = 5; } },
      { "negative importance",
        [](auto& aCall) { aCall.context.importance = -1; } },
      { "huge budget",
        [](auto& aCall) { aCall.context.retry_budget = 1 << 30; } },
      { "negative budget",
        [](auto& aCall) { aCall.context.retry_budget = -1; } },
      { "too deep", [](auto& aCall) { aCall.context.depth = 33; } },
      { "no request", [](auto& aCall) { aCall.context.request.clear(); } },
      { "forged request",
        [](auto& aCall) { aCall.context.request = "a\r\n"; } },
      { "no method", [](auto& aCall) { aCall.method.clear(); } },
      { "forged method", [](auto& aCall) { aCall.method = "GET /b"; } },
      { "forged path",
        [](auto& aCall) { aCall.path = "/a HTTP/1.1\r\nX: y"; } },
      { "relative path", [](auto& aCall) { aCall.path = "a"; } },
      { "body size", [](auto& aCall) { aCall.body_size = -2; } },
      { "forged header",
        [](auto& aCall) {
          aCall.headers.resize(1);
          aCall.headers[0].name = "X";
          aCall.headers[0].value = "a\r\nY: b";
        } },
      { "unnamed header", [](auto& aCall) { aCall.headers.resize(1); } },
    };
    for (const Case& fault : cases) {
      CAPTURE(fault.mName);
      auto wire = ValidStart();
      CHECK(PeerCodec::FromWire(wire, kNow).has_value());
      wire = ValidStart();
      fault.mBreak(wire);
      const auto read = PeerCodec::FromWire(wire, kNow);
      REQUIRE_FALSE(read.has_value());
      CHECK(read.error().mKind == core::ErrorKind::ProtocolError);
    }
  }

  TEST_CASE("responses with invalid values are protocol errors")
  {
    for (const int status : { -1, 0, 100, 199, 600, 99999 }) {
      gen::AnswerStart wire;
      wire.status = status;
      CHECK_FALSE(PeerCodec::FromWire(wire).has_value());
    }
    const std::vector<std::function<void(gen::WireFeedback&)>> breaks = {
      [](auto& aWire) { aWire.level.importance = 9; },
      [](auto& aWire) { aWire.level_below.cohort = -3; },
      [](auto& aWire) { aWire.load_permille = -1; },
      [](auto& aWire) { aWire.budget_returned = -1; },
      [](auto& aWire) { aWire.budget_returned = 1 << 30; },
    };
    for (const auto& fault : breaks) {
      auto wire = PeerCodec::ToWire(core::CallFeedback{});
      fault(wire);
      CHECK_FALSE(PeerCodec::FromWire(wire).has_value());
    }
    // An unknown kind with the certainty "not run" must not be trusted.
    gen::WireError error;
    error.kind = 120;
    error.run = 0;
    CHECK(PeerCodec::FromWire(error).mKind == core::ErrorKind::ProtocolError);
    CHECK(PeerCodec::FromWire(error).mRun == core::RunCertainty::Unknown);
  }

  // Bytes of a broken or hostile peer must cause an error: no crash, and no
  // memory use beyond the frame.
  TEST_CASE("damaged frames are errors")
  {
    const std::string valid = FrameBytes();
    REQUIRE(PeerCodec::Decode(valid).has_value());
    CHECK_FALSE(PeerCodec::Decode(valid + "x").has_value());
    CHECK_FALSE(PeerCodec::Decode({}).has_value());
    for (std::size_t size = 0; size < valid.size(); ++size) {
      CHECK_FALSE(PeerCodec::Decode(valid.substr(0, size)).has_value());
    }
    for (std::size_t at = 0; at < valid.size(); ++at) {
      for (int bit = 0; bit < 8; ++bit) {
        std::string damaged = valid;
        damaged[at] = static_cast<char>(damaged[at] ^ (1 << bit));
        // Only some of these frames are malformed, so the result is not
        // checked.
        auto frame = PeerCodec::Decode(damaged);
        if (frame && frame->payload.__isset.call) {
          (void)PeerCodec::FromWire(frame->payload.call, kNow);
        }
      }
    }
    gen::PeerFrame two;
    two.payload.__set_cancel({});
    two.payload.__set_hello({});
    std::string bytes;
    REQUIRE(PeerCodec::Append(two, bytes));
    CHECK_FALSE(PeerCodec::Decode(bytes.substr(4)).has_value());
    // A list with a length of two thousand million headers.
    std::string forged = FrameBytes();
    const auto list = forged.find("/deposits") + 9;
    REQUIRE(list < forged.size());
    forged = forged.substr(0, list) + "\x19\xfc\xff\xff\xff\xff\x07";
    CHECK_FALSE(PeerCodec::Decode(forged).has_value());
  }

  TEST_CASE("a frame above the limit is not appended")
  {
    gen::PeerFrame frame;
    gen::BodyChunk chunk;
    chunk.bytes.assign(kMaxFrameBytes, 'x');
    frame.payload.__set_chunk(chunk);
    std::string out = "before";
    CHECK_FALSE(PeerCodec::Append(frame, out));
    CHECK(out == "before");
  }

  // A proof that is accepted for another role, nonce or incarnation could be
  // replayed.
  TEST_CASE(
    "a proof is valid for one role, pair of nonces and pair of incarnations")
  {
    const std::string one = PeerAuthenticator::MakeNonce();
    const std::string two = PeerAuthenticator::MakeNonce();
    CHECK(one != two);
    const auto make = [](const std::string& aSecret,
                         const std::string& aCaller,
                         const std::string& aServer,
                         std::uint64_t aRun) {
      PeerAuthenticator made(aSecret);
      made.SetCaller(aCaller, { 1 });
      made.SetServer(aServer, { aRun });
      return made;
    };
    const auto good = make("secret", one, two, 5);
    CHECK(good.AcceptsCaller(make("secret", one, two, 5).CallerProof()));
    CHECK(good.AcceptsServer(make("secret", one, two, 5).ServerProof()));
    CHECK_FALSE(good.AcceptsCaller(good.ServerProof()));
    CHECK_FALSE(good.AcceptsServer(good.CallerProof()));
    CHECK_FALSE(good.AcceptsCaller({}));
    for (const auto& other : { make("Secret", one, two, 5),
                               make("secret", two, two, 5),
                               make("secret", one, one, 5),
                               make("secret", one, two, 6) }) {
      CHECK_FALSE(good.AcceptsCaller(other.CallerProof()));
    }
    const auto bare = make("secret", {}, two, 5);
    CHECK_FALSE(bare.AcceptsCaller(bare.CallerProof()));
    CHECK(make({}, {}, {}, 5).AcceptsCaller({}));
  }
}
