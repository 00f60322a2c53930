#include "tests/transport/HttpCalls.h"
#include "tests/transport/RawSocket.h"
#include "transport/http/ErrorResponse.h"

#include <atomic>
#include <future>

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;

namespace {

bool
Contains(const std::string& aText, std::string_view aPart)
{
  return aText.find(aPart) != std::string::npos;
}

// Reads the whole body, and responds with its size or its error.
void
CountBody(const Call& aCall, const ResponseHandler& aResponse)
{
  ReadAll(aCall.mBody, 1 << 30, [aCall, aResponse](const auto& aText) {
    if (aText) {
      aResponse(MakeResponse("size " + std::to_string(aText->size())));
    } else {
      aResponse(tl::make_unexpected(aText.error()));
    }
  });
}

} // namespace

TEST_SUITE("transport/http listener")
{
  // Malformed HTTP must not reach the handler, and its error must differ from
  // that of a busy node.
  TEST_CASE(
    "malformed and oversized calls are rejected and the connection is closed")
  {
    Loop loop;
    std::atomic<int> handled{ 0 };
    http::CallListenerSettings settings;
    settings.mMaxHeaderBytes = 1000;
    settings.mMaxBodyBytes = 100;
    const auto listener = Listen(
      loop,
      [&](const Call&, const ResponseHandler& aResponse) {
        ++handled;
        aResponse(MakeResponse("handled"));
      },
      settings);
    struct Case
    {
      std::string mBytes;
      const char* mStatus;
      const char* mError;
    };
    const std::string long_header = "X-Long: " + std::string(2000, 'x');
    for (const Case& fault : {
           Case{ "garbage\r\n\r\n", "400", "bad_request" },
           Case{ "GET /a HTTP/1.0\r\n\r\n", "400", "bad_request" },
           Case{ "GET http://x/a HTTP/1.1\r\n\r\n", "400", "bad_request" },
           Case{ "CONNECT x:1 HTTP/1.1\r\n\r\n", "400", "bad_request" },
           Case{ "GET /a HTTP/1.1\r\n" + long_header + "\r\n\r\n",
                 "400",
                 "bad_request" },
           Case{ "PUT /a HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                 "400",
                 "bad_request" },
           Case{ "PUT /a HTTP/1.1\r\nContent-Length: 5\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n",
                 "400",
                 "bad_request" },
           Case{ "PUT /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n"
                 "Content-Length: 5\r\n\r\nabcde",
                 "400",
                 "bad_request" },
           Case{
             "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n"
             "0\r\n\r\n",
             "400",
             "bad_request" },
           Case{ "PUT /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                 "0\r\n\r\n",
                 "400",
                 "bad_request" },
           Case{ "PUT /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n",
                 "413",
                 "body_too_large" },
         }) {
      CAPTURE(fault.mBytes);
      RawSocket caller(listener->LocalAddress());
      caller.Write(fault.mBytes);
      const std::string response = caller.ReadToEnd();
      CHECK(response.starts_with("HTTP/1.1 " + std::string(fault.mStatus)));
      CHECK(
        Contains(response, "Nutmegrock-Error: " + std::string(fault.mError)));
      CHECK(Contains(response, "Nutmegrock-Run: not-run"));
    }
    CHECK(handled == 0);
  }

  // Callers decide by these headers whether to retry a deposit.
  TEST_CASE("an error response states kind, certainty and retry advice")
  {
    struct Case
    {
      core::ErrorKind mKind;
      unsigned mStatus;
      std::string mRun;
      std::string mRetry;
    };
    for (const Case& expected : {
           Case{ core::ErrorKind::QueueFull, 503, "not-run", "after-ms=70" },
           Case{ core::ErrorKind::KeyRequired, 428, "not-run", "after-ms=70" },
           Case{ core::ErrorKind::BackendTimeout, 504, "unknown", "no" },
           Case{ core::ErrorKind::BadRequest, 400, "not-run", "no" },
         }) {
      auto error = core::MakeError(expected.mKind, "quote \" and \n break");
      error.mRetryAfter = std::chrono::milliseconds(70);
      const Response response = http::ErrorResponse(error);
      CHECK(response.mHead.mStatus == expected.mStatus);
      const Headers headers = {
        { "Content-Type", "application/json" },
        { "Nutmegrock-Error", std::string(core::RowOf(expected.mKind).mName) },
        { "Nutmegrock-Run", expected.mRun },
        { "Nutmegrock-Retry", expected.mRetry }
      };
      CHECK(response.mHead.mHeaders == headers);
      const auto body = ReadBody(response.mBody);
      REQUIRE(body.has_value());
      CHECK(Contains(*body, R"("message":"quote \" and \n break")"));
    }
  }

  TEST_CASE("a call body that ends early is incomplete and cancels the call")
  {
    Loop loop;
    Awaited<Call> given;
    const auto listener =
      Listen(loop, [&](const Call& aCall, const ResponseHandler&) {
        given.Set(aCall);
      });
    for (const char* body : { "Content-Length: 10\r\n\r\nabc",
                              "Content-Length: 100000\r\n\r\nabc",
                              "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                              "Transfer-Encoding: chunked\r\n\r\n3\r\nab",
                              "Transfer-Encoding: chunked\r\n\r\nzz\r\n" }) {
      CAPTURE(body);
      RawSocket caller(listener->LocalAddress());
      caller.Write("PUT /a HTTP/1.1\r\n" + std::string(body));
      auto call = given.Get();
      REQUIRE(call.has_value());
      caller.Close();
      const auto text = ReadBody(call->mBody);
      REQUIRE_FALSE(text.has_value());
      CHECK(text.error().mKind == core::ErrorKind::BodyIncomplete);
      CHECK(WaitUntil([&] { return call->mCancellation->IsCancelled(); }));
    }
    CHECK(WaitUntil([&] { return listener->Connections() == 0; }));
    CHECK(listener->InFlight() == 0);
  }

  TEST_CASE("a caller that closes its connection cancels the call in flight")
  {
    Loop loop;
    Awaited<std::pair<Call, ResponseHandler>> given;
    const auto listener =
      Listen(loop, [&](const Call& aCall, const ResponseHandler& aResponse) {
        given.Set({ aCall, aResponse });
      });
    for (const char* call :
         { "GET /a HTTP/1.1\r\n\r\n",
           "PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" }) {
      RawSocket caller(listener->LocalAddress());
      caller.Write(call);
      auto taken = given.Get();
      REQUIRE(taken.has_value());
      CHECK(listener->InFlight() == 1);
      caller.Close();
      CHECK(
        WaitUntil([&] { return taken->first.mCancellation->IsCancelled(); }));
      // A late response must be dropped.
      taken->second(MakeResponse("late"));
      taken.reset();
      CHECK(WaitUntil([&] { return listener->InFlight() == 0; }));
    }
  }

  // Whoever waits until no connection is open must find no call in flight.
  TEST_CASE("a connection is counted until its call is no longer in flight")
  {
    using Counts = std::pair<std::size_t, std::size_t>;
    std::promise<const http::CallListener*> created;
    const auto pending = created.get_future().share();
    Awaited<Counts> at_cancel;
    Loop loop;
    http::CallListenerSettings settings;
    settings.mHeaderTimeout = std::chrono::milliseconds(200);
    const auto listener = Listen(
      loop,
      [&](const Call& aCall, const ResponseHandler&) {
        aCall.mCancellation->OnCancel([&] {
          at_cancel.Set(
            { pending.get()->Connections(), pending.get()->InFlight() });
        });
      },
      settings);
    created.set_value(listener.get());
    struct Case
    {
      std::string mCall;
      bool mCallerCloses;
    };
    for (const Case& ending : {
           Case{ "GET /a HTTP/1.1\r\n\r\n", true },
           Case{ "PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", true },
           // Closed by the timeout, while a read of the body is pending.
           Case{ "PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab", false },
         }) {
      CAPTURE(ending.mCall);
      CAPTURE(ending.mCallerCloses);
      RawSocket caller(listener->LocalAddress());
      caller.Write(ending.mCall);
      if (ending.mCallerCloses) {
        caller.Close();
      }
      const auto counts = at_cancel.Get();
      REQUIRE(counts.has_value());
      CHECK(counts->first == 1);
      CHECK(counts->second == 1);
      CHECK(WaitUntil([&] { return listener->Connections() == 0; }));
      CHECK(listener->InFlight() == 0);
    }
  }

  TEST_CASE("a connection that its caller keeps open is not counted after its "
            "last response")
  {
    Loop loop;
    const auto listener =
      Listen(loop, [](const Call&, const ResponseHandler& aResponse) {
        aResponse(core::Fail(core::ErrorKind::QueueFull, "full"));
      });
    RawSocket caller(listener->LocalAddress());
    // No byte of the body follows, so a read is pending when the listener
    // closes the connection.
    caller.Write("PUT /a HTTP/1.1\r\nContent-Length: 100000\r\n\r\n");
    CHECK(Contains(caller.ReadToEnd(), "Connection: close"));
    CHECK(WaitUntil([&] { return listener->Connections() == 0; }));
    CHECK(listener->InFlight() == 0);
  }

  // A truncated response must never appear complete to the caller.
  TEST_CASE("a response body that fails or has the wrong size is truncated")
  {
    struct Case
    {
      std::optional<std::uint64_t> mDeclared;
      std::size_t mSize;
      std::size_t mChunk;
      bool mFails;
      const char* mStatus;
    };
    Loop loop;
    Case fault{};
    const auto listener =
      Listen(loop, [&](const Call&, const ResponseHandler& aResponse) {
        Response response;
        response.mHead.mBodySize = fault.mDeclared;
        response.mBody = std::make_shared<GeneratedBody>(
          fault.mSize, fault.mChunk, fault.mFails);
        aResponse(std::move(response));
      });
    for (const Case& next : { Case{ {}, 100, 30, true, "200" },
                              Case{ 100, 60, 30, true, "200" },
                              Case{ 100, 60, 30, false, "200" },
                              Case{ 100, 120, 30, false, "200" },
                              Case{ {}, 0, 30, true, "400" } }) {
      fault = next;
      CAPTURE(fault.mSize);
      RawSocket caller(listener->LocalAddress());
      caller.Write("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
      const std::string response = caller.ReadToEnd();
      CHECK(response.starts_with("HTTP/1.1 " + std::string(fault.mStatus)));
      if (fault.mStatus == std::string("400")) {
        // Nothing was written yet, so the error itself can be sent.
        CHECK(Contains(response, "Nutmegrock-Error: body_incomplete"));
        continue;
      }
      CHECK_FALSE(response.ends_with("\r\n0\r\n\r\n"));
      const auto body = response.substr(response.find("\r\n\r\n") + 4);
      CHECK((!fault.mDeclared || body.size() < *fault.mDeclared));
    }
  }

  TEST_CASE(
    "a planned stop closes idle connections and completes calls in flight")
  {
    Loop loop;
    Awaited<ResponseHandler> given;
    const auto listener =
      Listen(loop, [&](const Call&, const ResponseHandler& aResponse) {
        given.Set(aResponse);
      });
    RawSocket idle(listener->LocalAddress());
    RawSocket busy(listener->LocalAddress());
    busy.Write("GET /a HTTP/1.1\r\n\r\n");
    auto response = given.Get();
    REQUIRE(response.has_value());
    CHECK(WaitUntil([&] { return listener->Connections() == 2; }));
    listener->StopAccepting();
    CHECK(idle.ReadToEnd().empty());
    CHECK(listener->InFlight() == 1);
    (*response)(MakeResponse("whole"));
    response.reset();
    const std::string text = busy.ReadToEnd();
    CHECK(Contains(text, "Connection: close"));
    CHECK(text.ends_with("whole"));
    CHECK(WaitUntil([&] { return listener->Connections() == 0; }));
    CHECK(listener->InFlight() == 0);
    CHECK_THROWS(RawSocket(listener->LocalAddress()));
  }

  TEST_CASE("connections beyond the limit get an error response and are closed")
  {
    Loop loop;
    http::CallListenerSettings settings;
    settings.mMaxConnections = 1;
    const auto listener = Listen(loop, CountBody, settings);
    RawSocket first(listener->LocalAddress());
    CHECK(WaitUntil([&] { return listener->Connections() == 1; }));
    RawSocket second(listener->LocalAddress());
    const std::string response = second.ReadToEnd();
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Contains(response, "Nutmegrock-Error: too_many_connections"));
    CHECK(listener->Refused() == 1);
    first.Write("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(first.ReadToEnd().ends_with("size 0"));
  }

  // Slow senders would otherwise occupy all connections.
  TEST_CASE("slow and idle callers are disconnected")
  {
    Loop loop;
    http::CallListenerSettings settings;
    settings.mHeaderTimeout = std::chrono::milliseconds(40);
    settings.mIdleTimeout = std::chrono::milliseconds(80);
    const auto listener = Listen(loop, CountBody, settings);
    for (const char* bytes :
         { "",
           "GET /a HT",
           "PUT /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab" }) {
      CAPTURE(bytes);
      RawSocket caller(listener->LocalAddress());
      caller.Write(bytes);
      CHECK(caller.WaitForClose());
    }
  }

  TEST_CASE("calls on one connection are served in order")
  {
    Loop loop;
    const auto listener = Listen(loop, CountBody);
    RawSocket caller(listener->LocalAddress());
    caller.Write("PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc"
                 "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "4\r\nabcd\r\n0\r\n\r\n"
                 "HEAD /a HTTP/1.1\r\n\r\n");
    CHECK(caller.ReadUntil("size 3").ends_with("\r\n\r\nsize 3"));
    CHECK(caller.ReadUntil("size 4").ends_with("\r\n\r\nsize 4"));
    CHECK(Contains(caller.ReadUntil("\r\n\r\n"), "HTTP/1.1 200"));
    caller.Write("PUT /a HTTP/1.1\r\nExpect: 100-continue\r\n"
                 "Content-Length: 2\r\nConnection: close\r\n\r\n");
    CHECK(caller.ReadUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    caller.Write("ab");
    CHECK(caller.ReadToEnd().ends_with("\r\n\r\nsize 2"));
  }

  // A call that is shed at once must neither close the caller's connection nor
  // leave a reader of its body without a result.
  TEST_CASE(
    "a response before the end of a short body keeps the connection open")
  {
    Loop loop;
    Awaited<core::Expected<BodyChunk>> read;
    const auto listener =
      Listen(loop, [&](const Call& aCall, const ResponseHandler& aResponse) {
        const auto body = aCall.mBody;
        body->Next([&read, body](auto aChunk) { read.Set(std::move(aChunk)); });
        aResponse(core::Fail(core::ErrorKind::QueueFull, "full"));
      });
    RawSocket caller(listener->LocalAddress());
    for (int i = 0; i < 3; ++i) {
      caller.Write("PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\n");
      const std::string head = caller.ReadUntil("\r\n\r\n");
      CHECK(head.starts_with("HTTP/1.1 503"));
      CHECK_FALSE(Contains(head, "Connection: close"));
      CHECK(caller.ReadUntil("}").ends_with("}"));
      caller.Write("abc");
      const auto chunk = read.Get();
      REQUIRE(chunk.has_value());
      CHECK(chunk->has_value());
    }
  }

  TEST_CASE("hop-by-hop headers are not forwarded")
  {
    Loop loop;
    Awaited<CallHead> given;
    const auto listener =
      Listen(loop, [&](const Call& aCall, const ResponseHandler& aResponse) {
        given.Set(aCall.mHead);
        auto response = MakeResponse("ok");
        response.mHead.mHeaders = { { "Connection", "x" },
                                    { "X-Split", "a\r\nX-Forged: b" },
                                    { "X-Good", "c" } };
        aResponse(std::move(response));
      });
    RawSocket caller(listener->LocalAddress());
    caller.Write("GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, x-one\r\n"
                 "X-One: 1\r\nTE: trailers\r\nX-Two: 2\r\n\r\n");
    const std::string response = caller.ReadToEnd();
    const auto head = given.Get();
    REQUIRE(head.has_value());
    CHECK(head->mHeaders == Headers{ { "Host", "h" }, { "X-Two", "2" } });
    CHECK(head->mBodySize == 0U);
    CHECK(Contains(response, "X-Good: c"));
    CHECK_FALSE(Contains(response, "X-Forged"));
  }
}
