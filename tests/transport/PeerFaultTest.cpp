#include "tests/transport/Peers.h"
#include "tests/transport/RawSocket.h"
#include "transport/peer/BodyReceiver.h"
#include "transport/peer/PeerLimits.h"

#include <deque>

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;
using peer::PeerEvent;

namespace {

gen::PeerFrame
HelloFrame(std::int32_t aVersion = peer::kProtocolVersion)
{
  gen::Hello hello;
  hello.protocol = aVersion;
  hello.incarnation = 5;
  gen::PeerFrame frame;
  frame.payload.__set_hello(hello);
  return frame;
}

gen::PeerFrame
CallFrame(std::int64_t aId, bool aLast = true)
{
  gen::CallStart start =
    peer::PeerCodec::ToWire(MakePeerCall(), core::Clock::now());
  start.last = aLast;
  gen::PeerFrame frame;
  frame.call = aId;
  frame.payload.__set_call(start);
  return frame;
}

gen::PeerFrame
ResponseFrame(std::int64_t aId, bool aLast = true)
{
  gen::AnswerStart response = peer::PeerCodec::ToWire(ResponseHead{});
  response.first_bytes = "ok";
  response.last = aLast;
  gen::PeerFrame frame;
  frame.call = aId;
  frame.payload.__set_answer(response);
  return frame;
}

gen::PeerFrame
ChunkFrame(std::int64_t aId, std::size_t aSize)
{
  gen::BodyChunk chunk;
  chunk.bytes.assign(aSize, 'x');
  gen::PeerFrame frame;
  frame.call = aId;
  frame.payload.__set_chunk(chunk);
  return frame;
}

gen::PeerFrame
CreditFrame(std::int64_t aId, std::int32_t aBytes)
{
  gen::BodyCredit credit;
  credit.bytes = aBytes;
  gen::PeerFrame frame;
  frame.call = aId;
  frame.payload.__set_credit(credit);
  return frame;
}

std::string
BytesOf(const std::vector<gen::PeerFrame>& aFrames)
{
  std::string bytes;
  for (const auto& frame : aFrames) {
    peer::PeerCodec::Append(frame, bytes);
  }
  return bytes;
}

// Accepts a connection on a raw socket and exchanges Hello.
RawSocket
AcceptPeer(RawServer& aServer)
{
  RawSocket socket = aServer.Accept();
  const auto hello = socket.ReadFrame();
  REQUIRE(hello.has_value());
  CHECK(hello->payload.__isset.hello);
  socket.WriteFrame(HelloFrame());
  return socket;
}

// Passes the calls that a server receives to the test.
struct ReceivedCalls
{
  Awaited<std::pair<PeerCall, PeerResultHandler>> mNext;

  PeerCallHandler Handler()
  {
    return [this](const PeerCall& aCall, const PeerResultHandler& aResponse) {
      mNext.Set({ aCall, aResponse });
    };
  }
};

PeerResult
TextResult(std::string aText)
{
  Response response;
  response.mBody = StringBody(std::move(aText));
  return { std::move(response), {} };
}

} // namespace

TEST_SUITE("transport/peer faults")
{
  // Malformed input from a peer must not reach the handlers, and its connection
  // must be closed.
  TEST_CASE("a server closes broken connections and counts the reason")
  {
    struct Case
    {
      const char* mName;
      std::string mBytes;
      PeerEvent mEvent;
    };
    const auto hello = HelloFrame();
    const std::string huge("\x00\x10\x00\x01", 4);
    const std::string garbage("\x00\x00\x00\x03zzz", 7);
    const std::vector<Case> cases = {
      { "too large", BytesOf({ hello }) + huge, PeerEvent::FrameTooLarge },
      { "HTTP", "GET / HTTP/1.1\r\n\r\n", PeerEvent::FrameTooLarge },
      { "empty", std::string(4, '\0'), PeerEvent::FrameMalformed },
      { "garbage", BytesOf({ hello }) + garbage, PeerEvent::FrameMalformed },
      { "no Hello", BytesOf({ CallFrame(1) }), PeerEvent::HelloFailed },
      { "second Hello", BytesOf({ hello, hello }), PeerEvent::HelloFailed },
      { "protocol", BytesOf({ HelloFrame(9) }), PeerEvent::HelloFailed },
      { "id used before",
        BytesOf({ hello, CallFrame(2), CallFrame(2) }),
        PeerEvent::FrameUnexpected },
      { "a response",
        BytesOf({ hello, ResponseFrame(1) }),
        PeerEvent::FrameUnexpected },
      { "beyond the window",
        BytesOf({ hello,
                  CallFrame(1, false),
                  ChunkFrame(1, peer::kWindowBytes + 1) }),
        PeerEvent::CreditExceeded },
      { "credit for nothing",
        BytesOf({ hello, CallFrame(1), CreditFrame(1, 1) }),
        PeerEvent::CreditExceeded },
    };
    for (const Case& fault : cases) {
      CAPTURE(fault.mName);
      Loop loop;
      ReceivedCalls given;
      const auto server = StartPeerServer(loop, given.Handler());
      RawSocket caller(server->LocalAddress());
      caller.Write(fault.mBytes);
      CHECK(caller.WaitForClose());
      CHECK(server->Counts().Of(fault.mEvent) == 1);
      CHECK(WaitUntil([&] { return server->Connections() == 0; }));
    }
  }

  TEST_CASE("a client drops broken connections, and their calls are unknown")
  {
    struct Case
    {
      const char* mName;
      std::string mBytes;
      PeerEvent mEvent;
    };
    const std::string huge("\x00\x10\x00\x01", 4);
    const std::vector<Case> cases = {
      { "closes", "", PeerEvent::ClosedByPeer },
      { "too large", huge, PeerEvent::FrameTooLarge },
      { "empty", std::string(4, '\0'), PeerEvent::FrameMalformed },
      { "a call", BytesOf({ CallFrame(1) }), PeerEvent::FrameUnexpected },
      { "a second Hello",
        BytesOf({ HelloFrame() }),
        PeerEvent::FrameUnexpected },
      { "a body before its response",
        BytesOf({ ChunkFrame(1, 5) }),
        PeerEvent::FrameUnexpected },
      { "credit for nothing",
        BytesOf({ CreditFrame(1, 5) }),
        PeerEvent::CreditExceeded },
    };
    for (const Case& fault : cases) {
      CAPTURE(fault.mName);
      Loop loop;
      RawServer raw;
      const auto client = MakePeerClient(loop);
      const auto sent = SendPeerCall(*client, raw.Address(), MakePeerCall());
      RawSocket socket = AcceptPeer(raw);
      CHECK(socket.ReadFrame().has_value());
      socket.Write(fault.mBytes);
      if (fault.mBytes.empty()) {
        socket.Close();
      }
      const auto result = ResultOf(sent);
      REQUIRE_FALSE(result.mResponse.has_value());
      CHECK(result.mResponse.error().mKind == core::ErrorKind::PeerLost);
      CHECK(result.mResponse.error().mRun == core::RunCertainty::Unknown);
      CHECK(result.mFeedback.mBudgetReturned == 0);
      CHECK(client->Counts().Of(fault.mEvent) == 1);
    }
  }

  // Before the call's frame is sent, the work certainly did not start.
  TEST_CASE("no connection means not run, and the budget is not spent")
  {
    struct Case
    {
      const char* mName;
      std::function<void(RawServer&)> mServe;
    };
    const std::vector<Case> cases = {
      { "refused", [](RawServer& aServer) { aServer.Close(); } },
      { "closes", [](RawServer& aServer) { aServer.Accept(); } },
      { "no Hello within the timeout", [](RawServer&) {} },
      { "other protocol",
        [](RawServer& aServer) {
          RawSocket socket = aServer.Accept();
          socket.WriteFrame(HelloFrame(9));
          socket.ReadToEnd();
        } },
      { "HTTP server",
        [](RawServer& aServer) {
          RawSocket socket = aServer.Accept();
          socket.Write("HTTP/1.1 400 Bad Request\r\n\r\n");
          socket.ReadToEnd();
        } },
    };
    for (const Case& fault : cases) {
      CAPTURE(fault.mName);
      Loop loop;
      RawServer raw;
      const core::Address address = raw.Address();
      peer::PeerClientSettings settings;
      settings.mConnectTimeout = std::chrono::milliseconds(300);
      settings.mMinBackoff = std::chrono::hours(1);
      settings.mMaxBackoff = std::chrono::hours(1);
      const auto client = MakePeerClient(loop, settings);
      if (fault.mName == std::string("refused")) {
        raw.Close();
      }
      const auto sent = SendPeerCall(*client, address, MakePeerCall());
      if (fault.mName != std::string("refused")) {
        fault.mServe(raw);
      }
      // The second call is made during the backoff after the failed attempt.
      for (const auto& next : { sent, AwaitedResult() }) {
        const auto result = ResultOf(
          next ? next : SendPeerCall(*client, address, MakePeerCall()));
        REQUIRE_FALSE(result.mResponse.has_value());
        CHECK(result.mResponse.error().mKind ==
              core::ErrorKind::PeerUnreachable);
        CHECK(result.mResponse.error().mRun == core::RunCertainty::NotRun);
        CHECK(result.mFeedback.mBudgetReturned == 3);
      }
    }
  }

  TEST_CASE("responses in any order reach the calls they belong to")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    std::deque<std::pair<AwaitedResult, PeerResultHandler>> calls;
    std::vector<std::string> names;
    for (int i = 0; i < 20; ++i) {
      const std::string name = "/" + std::to_string(i);
      auto call = MakePeerCall();
      call.mCall.mHead.mTarget = name;
      const auto sent =
        SendPeerCall(*client, server->LocalAddress(), std::move(call));
      auto taken = given.mNext.Get();
      REQUIRE(taken.has_value());
      CHECK(taken->first.mCall.mHead.mTarget == name);
      calls.emplace_back(sent, taken->second);
      names.push_back(name);
    }
    CHECK(server->InFlight() == 20);
    while (!calls.empty()) {
      calls.back().second(TextResult(names.back()));
      const auto result = ResultOf(calls.back().first);
      REQUIRE(result.mResponse.has_value());
      CHECK(ReadBody(result.mResponse->mBody) == names.back());
      calls.pop_back();
      names.pop_back();
    }
    CHECK(WaitUntil([&] { return server->InFlight() == 0; }));
  }

  TEST_CASE("a late response is dropped and the connection stays open")
  {
    Loop loop;
    RawServer raw;
    const auto client = MakePeerClient(loop);
    const auto late = SendPeerCall(
      *client,
      raw.Address(),
      MakePeerCall({}, core::Clock::now() + std::chrono::seconds(1)));
    RawSocket socket = AcceptPeer(raw);
    const auto start = socket.ReadFrame();
    REQUIRE(start.has_value());
    const auto result = ResultOf(late);
    REQUIRE_FALSE(result.mResponse.has_value());
    CHECK(result.mResponse.error().mKind == core::ErrorKind::DeadlineExceeded);
    CHECK(result.mResponse.error().mRun == core::RunCertainty::Unknown);
    const auto cancel = socket.ReadFrame();
    REQUIRE(cancel.has_value());
    CHECK(cancel->payload.__isset.cancel);
    CHECK(cancel->call == start->call);
    socket.WriteFrame(ResponseFrame(start->call));
    const auto second = SendPeerCall(*client, raw.Address(), MakePeerCall());
    const auto next = socket.ReadFrame();
    REQUIRE(next.has_value());
    CHECK(next->call != start->call);
    socket.WriteFrame(ResponseFrame(next->call));
    const auto good = ResultOf(second);
    REQUIRE(good.mResponse.has_value());
    CHECK(ReadBody(good.mResponse->mBody) == "ok");
    CHECK(late->SetCount() == 1);
    CHECK(client->Counts().Of(PeerEvent::LateFrame) == 1);
  }

  TEST_CASE("a deadline that passed before sending is not run")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    const auto result = ResultOf(SendPeerCall(
      *client,
      server->LocalAddress(),
      MakePeerCall({}, core::Clock::now() - std::chrono::seconds(1))));
    REQUIRE_FALSE(result.mResponse.has_value());
    CHECK(result.mResponse.error().mKind == core::ErrorKind::DeadlineExceeded);
    CHECK(result.mResponse.error().mRun == core::RunCertainty::NotRun);
  }

  TEST_CASE("calls that the server must not run are rejected individually")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    auto other = MakePeerCall();
    other.mTarget = { 12345 };
    const auto wrong =
      ResultOf(SendPeerCall(*client, server->LocalAddress(), std::move(other)));
    REQUIRE_FALSE(wrong.mResponse.has_value());
    CHECK(wrong.mResponse.error().mKind == core::ErrorKind::WrongIncarnation);
    CHECK(wrong.mResponse.error().mRun == core::RunCertainty::NotRun);
    CHECK(wrong.mFeedback.mBudgetReturned == 3);
    auto deep = MakePeerCall();
    deep.mContext.mDepth = 1000;
    const auto nonsense =
      ResultOf(SendPeerCall(*client, server->LocalAddress(), std::move(deep)));
    REQUIRE_FALSE(nonsense.mResponse.has_value());
    CHECK(nonsense.mResponse.error().mKind == core::ErrorKind::ProtocolError);
    auto unknown = MakePeerCall();
    unknown.mTarget = {};
    const auto sent =
      SendPeerCall(*client, server->LocalAddress(), std::move(unknown));
    auto taken = given.mNext.Get();
    REQUIRE(taken.has_value());
    taken->second(TextResult("ok"));
    CHECK(ResultOf(sent).mResponse.has_value());
    CHECK(server->Connections() == 1);
  }

  TEST_CASE("errors of the serving node arrive with their certainty")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    for (const auto run :
         { core::RunCertainty::NotRun, core::RunCertainty::Unknown }) {
      const auto sent =
        SendPeerCall(*client, server->LocalAddress(), MakePeerCall());
      auto taken = given.mNext.Get();
      REQUIRE(taken.has_value());
      auto error = core::MakeError(core::ErrorKind::QueueFull, "full");
      error.mRun = run;
      error.mRetryAfter = std::chrono::milliseconds(15);
      core::CallFeedback feedback;
      feedback.mBudgetReturned = 2;
      taken->second({ tl::make_unexpected(error), feedback });
      const auto result = ResultOf(sent);
      REQUIRE_FALSE(result.mResponse.has_value());
      CHECK(result.mResponse.error() == error);
      CHECK(result.mFeedback == feedback);
    }
  }

  TEST_CASE("cancelling a call cancels it at the server")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    enum class Ending
    {
      Cancelled,
      ClientClosed,
      ResponseDropped
    };
    for (const Ending ending :
         { Ending::Cancelled, Ending::ResponseDropped, Ending::ClientClosed }) {
      CAPTURE(static_cast<int>(ending));
      const auto call = MakePeerCall();
      const auto sent = SendPeerCall(*client, server->LocalAddress(), call);
      auto taken = given.mNext.Get();
      REQUIRE(taken.has_value());
      if (ending == Ending::ResponseDropped) {
        Response response;
        response.mBody = std::make_shared<GeneratedBody>(5'000'000, 50'000);
        taken->second({ std::move(response), {} });
        CHECK(ResultOf(sent).mResponse.has_value());
      } else if (ending == Ending::Cancelled) {
        call.mCall.mCancellation->Cancel();
        const auto result = ResultOf(sent);
        REQUIRE_FALSE(result.mResponse.has_value());
        CHECK(result.mResponse.error().mKind == core::ErrorKind::Cancelled);
      } else {
        client->Close();
        const auto result = ResultOf(sent);
        REQUIRE_FALSE(result.mResponse.has_value());
        CHECK(result.mResponse.error().mKind == core::ErrorKind::PeerLost);
      }
      CHECK(WaitUntil(
        [&] { return taken->first.mCall.mCancellation->IsCancelled(); }));
      taken->second(TextResult("late"));
      taken.reset();
      CHECK(WaitUntil([&] { return server->InFlight() == 0; }));
    }
    const auto after =
      ResultOf(SendPeerCall(*client, server->LocalAddress(), MakePeerCall()));
    REQUIRE_FALSE(after.mResponse.has_value());
    CHECK(after.mResponse.error().mKind == core::ErrorKind::PeerUnreachable);
  }

  // A body that ends early must never be forwarded as complete.
  TEST_CASE("bodies that fail during transfer fail their readers")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    for (const std::size_t size : { 0, 10, 100'000, 1'000'000 }) {
      CAPTURE(size);
      auto sent = SendPeerCall(
        *client,
        server->LocalAddress(),
        MakePeerCall(std::make_shared<GeneratedBody>(size, 9000, true)));
      if (size > 0) {
        auto taken = given.mNext.Get();
        REQUIRE(taken.has_value());
        CHECK_FALSE(ReadBody(taken->first.mCall.mBody).has_value());
      }
      const auto failed = ResultOf(sent);
      REQUIRE_FALSE(failed.mResponse.has_value());
      CHECK(failed.mResponse.error().mKind == core::ErrorKind::BodyIncomplete);

      sent = SendPeerCall(*client, server->LocalAddress(), MakePeerCall());
      auto taken = given.mNext.Get();
      REQUIRE(taken.has_value());
      Response response;
      response.mBody = std::make_shared<GeneratedBody>(size, 9000, true);
      taken->second({ std::move(response), {} });
      const auto result = ResultOf(sent);
      CHECK(result.mResponse.has_value() == (size > 0));
      if (result.mResponse) {
        const auto text = ReadBody(result.mResponse->mBody);
        REQUIRE_FALSE(text.has_value());
        CHECK(text.error().mKind == core::ErrorKind::BodyIncomplete);
      }
    }
  }

  TEST_CASE("a server that disconnects during a response body fails its reader")
  {
    Loop loop;
    RawServer raw;
    const auto client = MakePeerClient(loop);
    const auto sent = SendPeerCall(*client, raw.Address(), MakePeerCall());
    RawSocket socket = AcceptPeer(raw);
    const auto start = socket.ReadFrame();
    REQUIRE(start.has_value());
    socket.WriteFrame(ResponseFrame(start->call, false));
    const auto result = ResultOf(sent);
    REQUIRE(result.mResponse.has_value());
    socket.Close();
    const auto text = ReadBody(result.mResponse->mBody);
    REQUIRE_FALSE(text.has_value());
    CHECK(text.error().mKind == core::ErrorKind::PeerLost);
  }

  // The window bounds what either side buffers of one body.
  TEST_CASE("nothing beyond the credit window is read from a body's source")
  {
    constexpr std::size_t kSize = 5'000'000;
    constexpr std::size_t kChunk = 50'000;
    constexpr std::size_t kMax = peer::kWindowBytes + kChunk;
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    const auto call_body = std::make_shared<GeneratedBody>(kSize, kChunk);
    const auto sent =
      SendPeerCall(*client, server->LocalAddress(), MakePeerCall(call_body));
    auto taken = given.mNext.Get();
    REQUIRE(taken.has_value());
    CHECK(
      WaitUntil([&] { return call_body->BytesRead() >= peer::kWindowBytes; }));
    CHECK(call_body->BytesRead() <= kMax);
    std::size_t consumed = 0;
    for (int i = 0; i < 20; ++i) {
      const auto chunk = ReadChunk(taken->first.mCall.mBody);
      REQUIRE(chunk.has_value());
      consumed += chunk->mBytes.size();
      CHECK(chunk->mBytes.size() <= peer::kWindowBytes);
      CHECK(call_body->BytesRead() <= consumed + kMax);
    }
    const auto response_body = std::make_shared<GeneratedBody>(kSize, kChunk);
    Response response;
    response.mBody = response_body;
    taken->second({ std::move(response), {} });
    const auto result = ResultOf(sent);
    REQUIRE(result.mResponse.has_value());
    CHECK(WaitUntil(
      [&] { return response_body->BytesRead() >= peer::kWindowBytes; }));
    CHECK(response_body->BytesRead() <= kMax);
    const auto text = ReadBody(result.mResponse->mBody);
    REQUIRE(text.has_value());
    CHECK(text->size() == kSize);
    // The rest of the call's body is dropped when the call ends.
    CHECK_FALSE(ReadBody(taken->first.mCall.mBody).has_value());
  }

  TEST_CASE("a receiver rejects bytes beyond the credit that it granted")
  {
    std::size_t credit = 0;
    peer::BodyReceiver body(
      std::string(1000, 'x'),
      [&](std::size_t aBytes) { credit += aBytes; },
      [] {});
    CHECK(body.Push({ std::string(peer::kWindowBytes - 1000, 'y'), false }));
    CHECK_FALSE(body.Push({ "z", false }));
    CHECK(body.BufferedBytes() == peer::kWindowBytes);
    CHECK(credit == 0);
    body.Next([](const auto& aChunk) {
      CHECK(aChunk->mBytes.size() == peer::kWindowBytes);
    });
    CHECK(credit == peer::kWindowBytes);
    CHECK(body.Push({ std::string(peer::kWindowBytes, 'y'), true }));
    CHECK_FALSE(body.Push({ "", true }));
  }

  TEST_CASE("idle connections are closed, and reopened when needed")
  {
    Loop loop;
    const auto server = StartPeerServer(
      loop, [](const PeerCall&, const PeerResultHandler& aResponse) {
        aResponse(TextResult("ok"));
      });
    peer::PeerClientSettings settings;
    settings.mIdleTimeout = std::chrono::milliseconds(20);
    const auto client = MakePeerClient(loop, settings);
    for (int i = 0; i < 3; ++i) {
      CHECK(
        ResultOf(SendPeerCall(*client, server->LocalAddress(), MakePeerCall()))
          .mResponse.has_value());
      CHECK(WaitUntil([&] { return server->Connections() == 0; }));
    }
    CHECK(client->Counts().Of(PeerEvent::ClosedHere) == 3);
  }

  TEST_CASE("a client reconnects to a restarted server")
  {
    Loop loop;
    const auto serve = [](const PeerCall&, const PeerResultHandler& aResponse) {
      aResponse(TextResult("ok"));
    };
    auto server = StartPeerServer(loop, serve);
    const core::Address address = server->LocalAddress();
    const auto client = MakePeerClient(loop);
    const auto works = [&] {
      return ResultOf(SendPeerCall(*client, address, MakePeerCall()))
        .mResponse.has_value();
    };
    CHECK(works());
    server.reset();
    CHECK(WaitUntil([&] { return !works(); }));
    peer::PeerServerSettings settings;
    settings.mAddress = address;
    server = StartPeerServer(loop, serve, settings);
    CHECK(WaitUntil(works));
  }

  TEST_CASE("a planned stop refuses connections and completes calls in flight")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    const auto sent =
      SendPeerCall(*client, server->LocalAddress(), MakePeerCall());
    auto taken = given.mNext.Get();
    REQUIRE(taken.has_value());
    server->StopAccepting();
    CHECK(WaitUntil([&] {
      // A connection accepted before the stop stays usable, so each attempt
      // needs a new client.
      const auto other = MakePeerClient(loop);
      return !ControlAndWait(*other, server->LocalAddress(), {}, "")
                .has_value();
    }));
    CHECK(server->InFlight() == 1);
    taken->second(TextResult("whole"));
    taken.reset();
    const auto result = ResultOf(sent);
    REQUIRE(result.mResponse.has_value());
    CHECK(ReadBody(result.mResponse->mBody) == "whole");
    CHECK(WaitUntil([&] { return server->InFlight() == 0; }));
  }

  TEST_CASE("only peers with the same secret are served")
  {
    struct Case
    {
      const char* mClient;
      const char* mServer;
      bool mServed;
    };
    for (const Case& secrets : { Case{ "", "", true },
                                 Case{ "one", "one", true },
                                 Case{ "one", "two", false },
                                 Case{ "one", "", false },
                                 Case{ "", "one", false } }) {
      CAPTURE(secrets.mClient);
      CAPTURE(secrets.mServer);
      Loop loop;
      peer::PeerServerSettings serve;
      serve.mSecret = secrets.mServer;
      peer::PeerClientSettings call;
      call.mSecret = secrets.mClient;
      ReceivedCalls given;
      const auto server = StartPeerServer(loop, given.Handler(), serve);
      const auto client = MakePeerClient(loop, call);
      const auto response =
        ControlAndWait(*client, server->LocalAddress(), kServerIncarnation, "");
      CHECK(response.has_value() == secrets.mServed);
      if (!response) {
        CHECK(response.error().mKind == core::ErrorKind::PeerUnreachable);
        CHECK(client->Counts().Of(PeerEvent::AuthenticationFailed) == 1);
      }
    }
    // A caller that omits or forges its proof is not served either.
    Loop loop;
    peer::PeerServerSettings serve;
    serve.mSecret = "one";
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler(), serve);
    for (const auto& second : { CallFrame(1), HelloFrame() }) {
      RawSocket caller(server->LocalAddress());
      caller.Write(BytesOf({ HelloFrame(), second }));
      CHECK(caller.WaitForClose());
    }
    CHECK(server->Counts().Of(PeerEvent::AuthenticationFailed) == 2);
  }

  // Guards against requests for routes that fail one after the other while the
  // connection they share has gone silent: only idleness closed it.
  TEST_CASE("a silent connection is closed at the end of a control request")
  {
    Loop loop;
    RawServer raw;
    const auto client = MakePeerClient(loop);
    Awaited<core::Expected<std::string>> first;
    client->Control(raw.Address(),
                    {},
                    "pull",
                    {},
                    core::Clock::now() + std::chrono::milliseconds(300),
                    [&first](auto aResult) { first.Set(std::move(aResult)); });
    RawSocket silent = AcceptPeer(raw);
    REQUIRE(silent.ReadFrame().has_value());
    const auto failed = first.Get();
    REQUIRE(failed.has_value());
    REQUIRE_FALSE(failed->has_value());
    CHECK(failed->error().mKind == core::ErrorKind::DeadlineExceeded);
    CHECK(silent.WaitForClose());
    CHECK(client->Counts().Of(PeerEvent::Silent) == 1);
    // The next request uses a new connection.
    Awaited<core::Expected<std::string>> second;
    client->Control(
      raw.Address(), {}, "pull", {}, FarDeadline(), [&second](auto aResult) {
        second.Set(std::move(aResult));
      });
    RawSocket fresh = AcceptPeer(raw);
    const auto request = fresh.ReadFrame();
    REQUIRE(request.has_value());
    gen::PeerFrame answer;
    answer.call = request->call;
    gen::ControlAnswer control;
    control.__set_result("7");
    answer.payload.__set_control_answer(control);
    fresh.WriteFrame(answer);
    const auto answered = second.Get();
    REQUIRE(answered.has_value());
    CHECK(*answered == std::string("7"));
  }

  TEST_CASE("requests and results that do not fit into a frame are rejected")
  {
    Loop loop;
    ReceivedCalls given;
    const auto server = StartPeerServer(loop, given.Handler());
    const auto client = MakePeerClient(loop);
    const auto& address = server->LocalAddress();
    const auto large = ControlAndWait(
      *client, address, {}, std::string(peer::kMaxFrameBytes, 'x'));
    REQUIRE_FALSE(large.has_value());
    CHECK(large.error().mKind == core::ErrorKind::BadRequest);
    CHECK(large.error().mRun == core::RunCertainty::NotRun);
    // The request fits, but its echo does not.
    const auto echo = ControlAndWait(
      *client, address, {}, std::string(peer::kMaxFrameBytes - 20, 'x'));
    CHECK_FALSE(echo.has_value());
    CHECK(ControlAndWait(*client, address, {}, "x").has_value());
    CHECK(server->Connections() == 1);
  }
}
