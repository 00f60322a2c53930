#include "tests/transport/HttpCalls.h"
#include "tests/transport/RawSocket.h"

using namespace nutmegrock;
using namespace nutmegrock::tests;
using namespace nutmegrock::transport;

namespace {

constexpr const char* kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

core::TimePoint
ShortDeadline()
{
  return core::Clock::now() + std::chrono::milliseconds(50);
}

} // namespace

TEST_SUITE("transport/http client")
{
  // A wrong certainty here would charge a deposit twice, or lose it.
  TEST_CASE("faults of the backend server before its response")
  {
    struct Case
    {
      const char* mName;
      std::optional<std::string> mResponse;
      core::ErrorKind mKind;
    };
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    for (const Case& fault : {
           Case{ "closes", "", core::ErrorKind::BackendProtocol },
           Case{
             "garbage", "garbage\r\n\r\n", core::ErrorKind::BackendProtocol },
           Case{ "half a head",
                 "HTTP/1.1 200 OK\r\nContent-",
                 core::ErrorKind::BackendProtocol },
           Case{ "body without a checked end",
                 "HTTP/1.1 200 OK\r\n\r\nok",
                 core::ErrorKind::BackendProtocol },
           Case{ "unknown coding beside a length",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
                 "Content-Length: 2\r\n\r\nok",
                 core::ErrorKind::BackendProtocol },
           Case{ "unknown coding before chunks",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                 "2\r\nok\r\n0\r\n\r\n",
                 core::ErrorKind::BackendProtocol },
           Case{ "chunks beside a length",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                 core::ErrorKind::BackendProtocol },
           Case{ "status 000",
                 "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
                 core::ErrorKind::BackendProtocol },
           Case{ "status 600",
                 "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok",
                 core::ErrorKind::BackendProtocol },
           Case{ "switches protocols",
                 "HTTP/1.1 101 Switching\r\n\r\n",
                 core::ErrorKind::BackendProtocol },
           Case{ "silent", {}, core::ErrorKind::BackendTimeout },
         }) {
      CAPTURE(fault.mName);
      const auto sent = SendCall(*client,
                                 MakeCall("POST", "/a", StringBody("abc")),
                                 fault.mResponse ? FarDeadline()
                                                 : core::Clock::now() +
                                                     std::chrono::seconds(3));
      RawSocket socket = backend.Accept();
      if (fault.mResponse) {
        CHECK(socket.ReadUntil("abc").ends_with("\r\n\r\nabc"));
        socket.Write(*fault.mResponse);
        socket.Close();
      }
      const auto response = ResponseOf(sent);
      REQUIRE_FALSE(response.has_value());
      CHECK(response.error().mKind == fault.mKind);
      CHECK(response.error().mRun == core::RunCertainty::Unknown);
    }
    CHECK(WaitUntil([&] { return client->Connections() == 0; }));
  }

  TEST_CASE("a truncated response body fails its reader")
  {
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    for (const char* text :
         { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
           "HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\nok",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" }) {
      CAPTURE(text);
      const auto sent = SendCall(*client, MakeCall("GET", "/a"));
      RawSocket socket = backend.Accept();
      socket.ReadUntil("\r\n\r\n");
      socket.Write(text);
      socket.Close();
      const auto response = ResponseOf(sent);
      REQUIRE(response.has_value());
      const auto body = ReadBody(response->mBody);
      REQUIRE_FALSE(body.has_value());
      CHECK(body.error().mKind == core::ErrorKind::BackendProtocol);
      CHECK(body.error().mRun == core::RunCertainty::Unknown);
    }
  }

  TEST_CASE("a deadline during the response body fails its reader")
  {
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    const auto sent = SendCall(*client,
                               MakeCall("GET", "/a"),
                               core::Clock::now() + std::chrono::seconds(2));
    RawSocket socket = backend.Accept();
    socket.ReadUntil("\r\n\r\n");
    socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
    const auto response = ResponseOf(sent);
    REQUIRE(response.has_value());
    const auto body = ReadBody(response->mBody);
    REQUIRE_FALSE(body.has_value());
    CHECK(body.error().mKind == core::ErrorKind::BackendTimeout);
  }

  TEST_CASE("a refused connection is certainly not run")
  {
    Loop loop;
    RawServer backend;
    const core::Address address = backend.Address();
    backend.Close();
    const auto client = Connect(loop, address);
    const auto response = ResponseOf(SendCall(*client, MakeCall("POST", "/a")));
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().mKind == core::ErrorKind::BackendUnreachable);
    CHECK(response.error().mRun == core::RunCertainty::NotRun);
    CHECK(client->Connections() == 0);
  }

  // A call sent on a connection that breaks may have run, so the client must
  // not retry it by itself.
  TEST_CASE("a call on a pooled connection that breaks is unknown")
  {
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    const auto first = SendCall(*client, MakeCall("POST", "/a"));
    RawSocket socket = backend.Accept();
    socket.ReadUntil("\r\n\r\n");
    socket.Write(kOk);
    CHECK(ReadBody(ResponseOf(first)->mBody) == "ok");
    CHECK(WaitUntil([&] { return client->Idle() == 1; }));
    const auto second = SendCall(*client, MakeCall("POST", "/b"));
    CHECK(socket.ReadUntil("\r\n\r\n").starts_with("POST /b"));
    socket.Close();
    const auto response = ResponseOf(second);
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().mKind == core::ErrorKind::BackendProtocol);
    CHECK(response.error().mRun == core::RunCertainty::Unknown);
  }

  TEST_CASE("idle connections that closed or have stray bytes are not reused")
  {
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    for (const char* stray : { "", "stray" }) {
      CAPTURE(stray);
      const auto first = SendCall(*client, MakeCall("GET", "/a"));
      RawSocket old = backend.Accept();
      old.ReadUntil("\r\n\r\n");
      old.Write(kOk);
      CHECK(ReadBody(ResponseOf(first)->mBody) == "ok");
      CHECK(WaitUntil([&] { return client->Idle() == 1; }));
      if (*stray == '\0') {
        old.Close();
      }
      old.Write(stray);
      const auto second = SendCall(*client, MakeCall("GET", "/b"));
      RawSocket fresh = backend.Accept();
      fresh.ReadUntil("\r\n\r\n");
      fresh.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nok");
      CHECK(ReadBody(ResponseOf(second)->mBody) == "ok");
      CHECK(WaitUntil([&] { return client->Connections() == 0; }));
    }
  }

  TEST_CASE("calls wait for a connection in order, not beyond their deadline")
  {
    // One thread, so that the calls reach the pool in the order in which they
    // are sent.
    Loop loop(1);
    RawServer backend;
    const auto client = Connect(loop, backend.Address(), 1);
    const auto first = SendCall(*client, MakeCall("GET", "/first"));
    RawSocket socket = backend.Accept();
    socket.ReadUntil("\r\n\r\n");
    const auto late =
      SendCall(*client, MakeCall("GET", "/late"), ShortDeadline());
    const auto second = SendCall(*client, MakeCall("GET", "/second"));
    const auto third = SendCall(*client, MakeCall("GET", "/third"));
    const auto refused = ResponseOf(late);
    REQUIRE_FALSE(refused.has_value());
    CHECK(refused.error().mKind == core::ErrorKind::DeadlineExceeded);
    CHECK(refused.error().mRun == core::RunCertainty::NotRun);
    socket.Write(kOk);
    CHECK(ReadBody(ResponseOf(first)->mBody) == "ok");
    CHECK(socket.ReadUntil("\r\n\r\n").starts_with("GET /second"));
    socket.Write(kOk);
    CHECK(ReadBody(ResponseOf(second)->mBody) == "ok");
    CHECK(socket.ReadUntil("\r\n\r\n").starts_with("GET /third"));
    // The waiting call needs a new connection when this one breaks.
    const auto fourth = SendCall(*client, MakeCall("GET", "/fourth"));
    socket.Close();
    CHECK_FALSE(ResponseOf(third).has_value());
    RawSocket fresh = backend.Accept();
    CHECK(fresh.ReadUntil("\r\n\r\n").starts_with("GET /fourth"));
    fresh.Write(kOk);
    CHECK(ReadBody(ResponseOf(fourth)->mBody) == "ok");
  }

  // The backend server treats a closed connection as cancellation.
  TEST_CASE("a cancelled or dropped call closes its connection")
  {
    enum class Ending
    {
      Cancelled,
      CancelledInBody,
      ResponseDropped,
      CallBodyFails
    };
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    for (const Ending ending : { Ending::Cancelled,
                                 Ending::CancelledInBody,
                                 Ending::ResponseDropped,
                                 Ending::CallBodyFails }) {
      CAPTURE(static_cast<int>(ending));
      BodyReaderPtr body;
      if (ending == Ending::CallBodyFails) {
        body = std::make_shared<GeneratedBody>(3, 3, true);
      }
      const Call call = MakeCall("POST", "/a", body);
      const auto sent = SendCall(*client, call);
      RawSocket socket = backend.Accept();
      socket.ReadUntil("\r\n\r\n");
      if (ending == Ending::CancelledInBody ||
          ending == Ending::ResponseDropped) {
        socket.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok");
        auto response = ResponseOf(sent);
        REQUIRE(response.has_value());
        if (ending == Ending::CancelledInBody) {
          call.mCancellation->Cancel();
          const auto text = ReadBody(response->mBody);
          REQUIRE_FALSE(text.has_value());
          CHECK(text.error().mKind == core::ErrorKind::Cancelled);
        }
      } else {
        if (ending == Ending::Cancelled) {
          call.mCancellation->Cancel();
        }
        const auto response = ResponseOf(sent);
        REQUIRE_FALSE(response.has_value());
        CHECK(response.error().mKind == (ending == Ending::Cancelled
                                           ? core::ErrorKind::Cancelled
                                           : core::ErrorKind::BodyIncomplete));
        CHECK(response.error().mRun == core::RunCertainty::Unknown);
      }
      CHECK_FALSE(socket.ReadToEnd().ends_with("0\r\n\r\n"));
      CHECK(WaitUntil([&] { return client->Connections() == 0; }));
    }
  }

  TEST_CASE("interim and early responses")
  {
    Loop loop;
    RawServer backend;
    const auto client = Connect(loop, backend.Address());
    // The backend server rejects a large body without reading it.
    const auto body =
      std::make_shared<GeneratedBody>(std::size_t{ 100 } << 20, 50000);
    const auto sent = SendCall(*client, MakeCall("PUT", "/a", body));
    RawSocket socket = backend.Accept();
    socket.ReadUntil("\r\n\r\n");
    socket.Write("HTTP/1.1 103 Early\r\n\r\n"
                 "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
    const auto response = ResponseOf(sent);
    REQUIRE(response.has_value());
    CHECK(response->mHead.mStatus == 503);
    CHECK(ReadBody(response->mBody) == "busy");
    CHECK(WaitUntil([&] { return client->Connections() == 0; }));
    // A HEAD response has a length but no body, and the connection stays
    // usable.
    const auto head = SendCall(*client, MakeCall("HEAD", "/a"));
    RawSocket fresh = backend.Accept();
    fresh.ReadUntil("\r\n\r\n");
    fresh.Write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
    const auto head_response = ResponseOf(head);
    REQUIRE(head_response.has_value());
    CHECK(head_response->mHead.mBodySize == 4U);
    CHECK(ReadBody(head_response->mBody) == "");
    CHECK(WaitUntil([&] { return client->Idle() == 1; }));
  }
}
