#include "core/Time.h"
#include "proxy/ClientPool.h"
#include "proxy/HttpListener.h"
#include "proxy/MessageText.h"
#include "tests/transport/IoThread.h"
#include "tests/transport/RawSocket.h"

#include <ctime>
#include <doctest/doctest.h>
#include <future>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

using namespace nutmegrock;
using namespace nutmegrock::proxy;
using nutmegrock::tests::IoThread;
using nutmegrock::tests::RawServer;
using nutmegrock::tests::RawSocket;

namespace {

core::TimePoint
Now()
{
  return core::Clock::now();
}

/// Collects a response.
class ResponseCollector final : public ResponseSink
{
public:
  void OnResponseHead(const ResponseHead& aHead) override { mHead = aHead; }
  void OnResponseBody(std::string_view aBytes) override { mBody += aBytes; }
  void OnResponseEnd() override { mEnd.set_value({}); }
  void OnResponseFailed(const core::Error& aError) override
  {
    mEnd.set_value(aError);
  }
  void OnRequestSent() override {}
  /// The end; holds the error, or nothing if the response is complete.
  std::future<std::optional<core::Error>> End() { return mEnd.get_future(); }
  /// Waits for the end; returns the error, or nothing if the response is
  /// complete.
  std::optional<core::Error> Wait() { return End().get(); }

  ResponseHead mHead;
  std::string mBody;

private:
  std::promise<std::optional<core::Error>> mEnd;
};

ClientRequest
Get(const std::string& aId)
{
  ClientRequest request;
  request.mHead =
    "GET / HTTP/1.1\r\n" + HeaderLine("Nutmegrock-Request", aId) + "\r\n";
  request.mRequestId = aId;
  return request;
}

std::string
ResponseText(const std::string& aId, const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nNutmegrock-Request: " + aId +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

/// A listener whose requests are kept until the test responds to them.
struct PendingRequests
{
  explicit PendingRequests(IoThread& aThread, std::size_t aMax = 2'000)
    : mThread(aThread)
  {
    aThread.Run([this, aMax] {
      HttpListenerSettings settings;
      settings.mAddress = { "127.0.0.1", 0 };
      settings.mMaxConnections = aMax;
      mListener = std::move(*HttpListener::Create(
        mThread.Io(),
        settings,
        [this] { return Now() + mPassed; },
        [this](
          const ServerExchangePtr& aExchange) -> std::shared_ptr<RequestSink> {
          mExchanges.push_back(aExchange);
          return nullptr;
        }));
    });
  }
  ~PendingRequests() { Reset(); }
  /// Closes the listener and its connections.
  void Reset()
  {
    mThread.Run([this] {
      mExchanges.clear();
      mListener.reset();
    });
  }
  std::size_t Count()
  {
    std::size_t count = 0;
    mThread.Run([&] { count = mExchanges.size(); });
    return count;
  }
  void WaitFor(std::size_t aCount)
  {
    for (int i = 0; i < 1000 && Count() < aCount; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    REQUIRE(Count() == aCount);
  }

  IoThread& mThread;
  std::unique_ptr<HttpListener> mListener;
  std::vector<ServerExchangePtr> mExchanges;
  /// Time that passed for the listener besides the real one. Used on the
  /// thread.
  core::Duration mPassed{ 0 };
};

constexpr std::string_view kGet = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// Takes the process's free file descriptors until it is destroyed.
class NoFreeDescriptors
{
public:
  NoFreeDescriptors()
  {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &mLimit) == 0);
    rlimit limit = mLimit;
    // The next descriptor is the lowest free one.
    limit.rlim_cur = static_cast<rlim_t>(::dup(0));
    ::close(static_cast<int>(limit.rlim_cur));
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &limit) == 0);
  }
  NoFreeDescriptors(const NoFreeDescriptors&) = delete;
  NoFreeDescriptors& operator=(const NoFreeDescriptors&) = delete;
  ~NoFreeDescriptors() { ::setrlimit(RLIMIT_NOFILE, &mLimit); }

private:
  rlimit mLimit{};
};

/// A request with the id "b" that was sent on a connection on which one with
/// the id "a" got this response.
struct SecondRequest
{
  explicit SecondRequest(const std::string& aFirstResponse)
    : mConnection(Open())
  {
    mConnection.ReadUntil("\r\n\r\n");
    mConnection.Write(aFirstResponse);
    CHECK(!mFirst->Wait().has_value());
    mThread.Run(
      [this] { mPool->Send(mServer.Address(), Get("b"), mResponse); });
    mConnection.ReadUntil("\r\n\r\n");
  }
  SecondRequest(const SecondRequest&) = delete;
  SecondRequest& operator=(const SecondRequest&) = delete;
  ~SecondRequest()
  {
    mThread.Run([this] { mPool.reset(); });
  }

  IoThread mThread;
  RawServer mServer;
  std::unique_ptr<ClientPool> mPool;
  std::shared_ptr<ResponseCollector> mFirst =
    std::make_shared<ResponseCollector>();
  std::shared_ptr<ResponseCollector> mResponse =
    std::make_shared<ResponseCollector>();
  RawSocket mConnection;

private:
  RawSocket Open()
  {
    mThread.Run([this] {
      mPool = std::make_unique<ClientPool>(mThread.Io(), HeaderNames(), Now);
      mPool->Send(mServer.Address(), Get("a"), mFirst);
    });
    return mServer.Accept();
  }
};

} // namespace

// A response that is ready early must not be sent for an earlier request.
TEST_CASE("responses to pipelined requests are sent in order")
{
  IoThread thread;
  PendingRequests pending(thread);
  RawSocket client(pending.mListener->LocalAddress());
  client.Write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  pending.WaitFor(2);
  thread.Run([&] { pending.mExchanges[1]->SendResponse(200, {}, "second"); });
  thread.Run([&] { pending.mExchanges[0]->SendResponse(200, {}, "first"); });
  const std::string text = client.ReadUntil("second");
  CHECK(text.find("first") < text.find("second"));
}

// Guards against a node that exits with a request half read, a response in its
// buffer, or one that its caller has not read: the caller gets no answer.
TEST_CASE("a connection is busy until its caller has the whole response")
{
  IoThread thread;
  PendingRequests pending(thread);
  const auto busy = [&] {
    std::size_t count = 0;
    thread.Run([&] { count = pending.mListener->BusyConnections(); });
    return count;
  };
  const auto becomes = [&](std::size_t aCount) {
    for (int i = 0; i < 400 && busy() != aCount; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return busy() == aCount;
  };
  RawSocket client(pending.mListener->LocalAddress());
  CHECK(busy() == 0);
  client.Write("GET /1 HTT");
  CHECK(becomes(1));
  client.Write("P/1.1\r\n\r\n");
  pending.WaitFor(1);
  const std::string body(std::size_t{ 16 } * 1024 * 1024, 'x');
  thread.Run([&] { pending.mExchanges[0]->SendResponse(200, {}, body); });
  // The caller has not read it yet, so it does not fit into the buffers of the
  // system.
  CHECK(busy() == 1);
  client.ReadUntil("\r\n\r\nx");
  CHECK(busy() == 1);
  std::thread reader([&] { client.WaitForClose(); });
  CHECK(becomes(0));
  thread.Run([&] { pending.mListener->StartStopping(); });
  pending.Reset();
  reader.join();
}

TEST_CASE("bytes that are not a request get an error response and are closed")
{
  IoThread thread;
  PendingRequests pending(thread);
  RawSocket client(pending.mListener->LocalAddress());
  client.Write("nonsense\r\n\r\n");
  CHECK(client.ReadToEnd().starts_with("HTTP/1.1 400"));
}

// A request that follows a response with Connection: close must not run.
TEST_CASE("requests after a response that closes the connection are not read")
{
  IoThread thread;
  PendingRequests pending(thread);
  RawSocket client(pending.mListener->LocalAddress());
  client.Write("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n"
               "GET /2 HTTP/1.1\r\n\r\n");
  pending.WaitFor(1);
  thread.Run([&] { pending.mExchanges[0]->SendResponse(200, {}, "only"); });
  CHECK(client.ReadToEnd().find("Connection: close") != std::string::npos);
  CHECK(pending.Count() == 1);
}

TEST_CASE("an aborted response does not appear complete")
{
  IoThread thread;
  PendingRequests pending(thread);
  RawSocket client(pending.mListener->LocalAddress());
  client.Write("GET /1 HTTP/1.1\r\n\r\n");
  pending.WaitFor(1);
  thread.Run([&] {
    ResponseHead head;
    head.mStatus = 200;
    head.mFraming = BodyFraming::UntilClose;
    pending.mExchanges[0]->SendHead(head, {});
    pending.mExchanges[0]->SendBody("part");
    pending.mExchanges[0]->Abort();
  });
  const std::string text = client.ReadToEnd();
  CHECK(!text.ends_with("0\r\n\r\n"));
}

// Guards against callers that do not know chunks: they would take the end of
// the connection for the end of the response, and chunks for its body.
TEST_CASE("a response to HTTP/1.0 ends with its connection or is reset")
{
  for (const bool complete : { true, false }) {
    CAPTURE(complete);
    IoThread thread;
    PendingRequests pending(thread);
    RawSocket client(pending.mListener->LocalAddress());
    client.Write("GET /1 HTTP/1.0\r\n\r\n");
    pending.WaitFor(1);
    thread.Run([&] {
      ResponseHead head;
      head.mStatus = 200;
      head.mFraming = BodyFraming::Chunked;
      pending.mExchanges[0]->SendHead(head, {});
      pending.mExchanges[0]->SendBody("part");
    });
    std::string text = client.ReadUntil("\r\n\r\n");
    CHECK(text.find("Transfer-Encoding") == std::string::npos);
    thread.Run([&] {
      ServerExchange& exchange = *pending.mExchanges[0];
      complete ? exchange.End() : exchange.Abort();
    });
    text = client.ReadToEnd();
    CHECK(client.WasReset() == !complete);
    CHECK((!complete || text == "part"));
  }
}

// Guards against a late second copy of a response, without an id, that is taken
// for the response to the next request on the connection: callers got the
// answer to somebody else's request, or were told that theirs had not run.
TEST_CASE("a response without an id counts on a new connection only")
{
  const std::string anonymous =
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
  const std::string not_run = "HTTP/1.1 503 Full\r\nNutmegrock-Run: not-run\r\n"
                              "Content-Length: 0\r\n\r\n";
  for (const std::string& copy : { anonymous, not_run }) {
    CAPTURE(copy);
    SecondRequest reused(copy);
    RawSocket& connection = reused.mConnection;
    const auto& second = reused.mResponse;
    connection.Write(copy + ResponseText("b", "two"));
    const auto error = second->Wait();
    REQUIRE(error.has_value());
    CHECK(error->mKind == core::ErrorKind::BackendProtocol);
    CHECK(error->mRun == core::RunCertainty::Unknown);
    CHECK(second->mBody.empty());
    CHECK(connection.WaitForClose());
  }
}

// A duplicate of a response must not be taken for the response to the next
// request.
TEST_CASE("a response with another request's id is dropped")
{
  SecondRequest reused(ResponseText("a", "one"));
  RawSocket& connection = reused.mConnection;
  const auto& second = reused.mResponse;
  connection.Write(ResponseText("a", "one") + ResponseText("b", "two"));
  CHECK(!second->Wait().has_value());
  CHECK(second->mBody == "two");
  reused.mThread.Run([&] {
    CHECK(reused.mPool->Counts().mOpened == 1);
    CHECK(reused.mPool->Counts().mUnexpectedResponses == 1);
  });
}

TEST_CASE("the way a response ends early decides the error")
{
  struct Case
  {
    const char* mText;
    bool mComplete;
    core::ErrorKind mKind;
  };
  const Case cases[] = {
    { "HTTP/1.1 200 OK\r\n\r\nall of it", true, core::ErrorKind::Internal },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
      false,
      core::ErrorKind::BackendProtocol },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
      false,
      core::ErrorKind::BackendProtocol },
    { "", false, core::ErrorKind::PeerLost },
    { "garbage bytes\r\n\r\n", false, core::ErrorKind::BackendProtocol },
  };
  for (const Case& ending : cases) {
    CAPTURE(ending.mText);
    IoThread thread;
    RawServer server;
    std::unique_ptr<ClientPool> pool;
    thread.Run([&] {
      pool = std::make_unique<ClientPool>(thread.Io(), HeaderNames(), Now);
    });
    const auto sink = std::make_shared<ResponseCollector>();
    thread.Run([&] { pool->Send(server.Address(), Get("a"), sink); });
    RawSocket connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Write(ending.mText);
    connection.Close();
    const auto error = sink->Wait();
    CHECK(error.has_value() == !ending.mComplete);
    if (error) {
      CHECK(error->mKind == ending.mKind);
      CHECK(error->mRun == core::RunCertainty::Unknown);
    }
    thread.Run([&] { pool.reset(); });
  }
}

TEST_CASE("a request that could not connect has not run")
{
  IoThread thread;
  RawServer server;
  const core::Address address = server.Address();
  server.Close();
  std::unique_ptr<ClientPool> pool;
  const auto sink = std::make_shared<ResponseCollector>();
  thread.Run([&] {
    pool = std::make_unique<ClientPool>(thread.Io(), HeaderNames(), Now);
    pool->Send(address, Get("a"), sink);
  });
  const auto error = sink->Wait();
  REQUIRE(error.has_value());
  CHECK(error->mRun == core::RunCertainty::NotRun);
  thread.Run([&] { pool.reset(); });
}

// Guards against reads of freed memory while a request looks for a connection
// that can be reused; shown by the address checker.
TEST_CASE("a request replaces connections that have been idle for too long")
{
  IoThread thread;
  RawServer server;
  core::Duration passed{ 0 };
  std::unique_ptr<ClientPool> pool;
  const auto first = std::make_shared<ResponseCollector>();
  const auto second = std::make_shared<ResponseCollector>();
  const auto third = std::make_shared<ResponseCollector>();
  thread.Run([&] {
    pool = std::make_unique<ClientPool>(
      thread.Io(), HeaderNames(), [&passed] { return Now() + passed; });
    pool->Send(server.Address(), Get("a"), first);
    pool->Send(server.Address(), Get("b"), second);
  });
  RawSocket connections[] = { server.Accept(), server.Accept() };
  for (RawSocket& connection : connections) {
    const std::string head = connection.ReadUntil("\r\n\r\n");
    const bool is_first = head.find(": a\r\n") != std::string::npos;
    connection.Write(ResponseText(is_first ? "a" : "b", "done"));
  }
  CHECK(!first->Wait().has_value());
  CHECK(!second->Wait().has_value());

  thread.Run([&] {
    passed = std::chrono::minutes(1);
    pool->Send(server.Address(), Get("c"), third);
  });
  RawSocket fresh = server.Accept();
  fresh.ReadUntil("\r\n\r\n");
  fresh.Write(ResponseText("c", "done"));
  CHECK(!third->Wait().has_value());
  CHECK(pool->Counts().mOpened == 3);
  CHECK(pool->Counts().mReused == 0);
  for (RawSocket& connection : connections) {
    CHECK(connection.ReadUntil("\r\n\r\n").empty());
  }
  thread.Run([&] { pool.reset(); });
}

// Guards against a server that sends bytes that are no response until the
// caller closes: memory, and the time for which the connection is held, stay
// bounded without the help of the deadline.
TEST_CASE(
  "response bytes without end fail the request and close the connection")
{
  constexpr std::size_t kManyBytes = std::size_t{ 32 } * 1024 * 1024;
  struct Case
  {
    std::string mStart;
    std::string mRepeated;
  };
  const Case cases[] = {
    { "", "xxxxxxxx" },
    { "HTTP/1.1 200 ", "xxxxxxxx" },
    { "HTTP/1.1 200 OK\r\n", "X-A: yyyy\r\n" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "xxxxxxxx" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-A: yyyy\r\n" },
    { "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "", ResponseText("earlier", "one") },
    { "HTTP/1.1 200 OK\r\nNutmegrock-Request: earlier\r\n\r\n", "xxxxxxxx" },
  };
  for (const Case& endless : cases) {
    CAPTURE(endless.mStart);
    CAPTURE(endless.mRepeated);
    IoThread thread;
    RawServer server;
    std::unique_ptr<ClientPool> pool;
    thread.Run([&] {
      pool = std::make_unique<ClientPool>(thread.Io(), HeaderNames(), Now);
    });
    const auto sink = std::make_shared<ResponseCollector>();
    auto end = sink->End();
    thread.Run([&] { pool->Send(server.Address(), Get("a"), sink); });
    RawSocket connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    std::string bytes = endless.mStart;
    while (bytes.size() < kManyBytes) {
      bytes += endless.mRepeated;
    }
    CHECK(connection.TryWrite(bytes, std::chrono::seconds(2)) < bytes.size());
    REQUIRE(end.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
    const auto error = end.get();
    REQUIRE(error.has_value());
    CHECK(error->mKind == core::ErrorKind::BackendProtocol);
    CHECK(error->mRun == core::RunCertainty::Unknown);
    thread.Run([&] { pool.reset(); });
  }
}

// Guards against reading without end from a server that responds before it has
// the whole body of the request, and then continues to send.
TEST_CASE("bytes after an early response are not read while the body is sent")
{
  IoThread thread;
  RawServer server;
  std::unique_ptr<ClientPool> pool;
  OutgoingRequestPtr outgoing;
  const auto sink = std::make_shared<ResponseCollector>();
  thread.Run([&] {
    pool = std::make_unique<ClientPool>(thread.Io(), HeaderNames(), Now);
    ClientRequest request = Get("a");
    request.mFraming = BodyFraming::Chunked;
    request.mBodyComplete = false;
    outgoing = pool->Send(server.Address(), std::move(request), sink);
  });
  RawSocket connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Write(ResponseText("a", "early"));
  CHECK(!sink->Wait().has_value());
  const std::string bytes(std::size_t{ 64 } * 1024 * 1024, 'x');
  CHECK(connection.TryWrite(bytes, std::chrono::milliseconds(300)) <
        bytes.size());
  thread.Run([&] { outgoing->EndBody(); });
  CHECK(connection.WaitForClose());
  thread.Run([&] { pool.reset(); });
}

// Guards against a listener that uses a whole processor while the process has
// no file descriptor left, and against callers that are not accepted
// afterwards.
TEST_CASE("a listener without file descriptors waits and accepts later")
{
  IoThread thread;
  PendingRequests pending(thread);
  const core::Address address = pending.mListener->LocalAddress();
  std::promise<void> blocked;
  std::promise<void> go_on;
  boost::asio::post(thread.Io(), [&] {
    blocked.set_value();
    go_on.get_future().wait();
  });
  blocked.get_future().wait();
  RawSocket caller(address);
  {
    const NoFreeDescriptors limit;
    go_on.set_value();
    const std::clock_t begin = std::clock();
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    CHECK(std::clock() - begin < CLOCKS_PER_SEC / 10);
    thread.Run([&] { CHECK(pending.mListener->AcceptErrors() > 1); });
  }
  caller.Write(kGet);
  pending.WaitFor(1);
}

// Guards against callers that are refused because others hold connections that
// they do not use.
TEST_CASE("a new connection replaces one that is idle for the longest time")
{
  IoThread thread;
  PendingRequests pending(thread, 2);
  const core::Address address = pending.mListener->LocalAddress();
  RawSocket busy(address);
  busy.Write(kGet);
  pending.WaitFor(1);
  RawSocket idle(address);
  idle.Write(kGet);
  pending.WaitFor(2);
  thread.Run([&] {
    pending.mExchanges.back()->SendResponse(200, "", "done");
    pending.mPassed = std::chrono::seconds(1);
  });
  idle.ReadUntil("done");
  RawSocket fresh(address);
  fresh.Write(kGet);
  pending.WaitFor(3);
  CHECK(idle.ReadToEnd().empty());
  thread.Run([&] {
    CHECK(pending.mListener->ReplacedConnections() == 1);
    CHECK(pending.mListener->RefusedConnections() == 0);
    pending.mExchanges.front()->SendResponse(200, "", "first");
  });
  CHECK(busy.ReadUntil("first").ends_with("first"));
}

TEST_CASE("a connection with a request in flight is not replaced")
{
  IoThread thread;
  PendingRequests pending(thread, 1);
  const core::Address address = pending.mListener->LocalAddress();
  RawSocket busy(address);
  busy.Write(kGet);
  pending.WaitFor(1);
  thread.Run([&] { pending.mPassed = std::chrono::seconds(1); });
  RawSocket refused(address);
  CHECK(refused.ReadToEnd().empty());
  thread.Run([&] {
    CHECK(pending.mListener->RefusedConnections() == 1);
    pending.mExchanges.front()->SendResponse(200, "", "done");
  });
  CHECK(busy.ReadUntil("done").ends_with("done"));
}
