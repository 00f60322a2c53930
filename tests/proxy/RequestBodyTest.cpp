#include "core/Time.h"
#include "proxy/HttpListener.h"
#include "tests/transport/IoThread.h"
#include "tests/transport/RawSocket.h"

#include <atomic>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::proxy;
using nutmegrock::tests::IoThread;
using nutmegrock::tests::RawSocket;
using std::chrono::milliseconds;

namespace {

/// One request of the listener, which the test answers.
struct Request final : RequestSink
{
  void OnRequestBody(std::string_view aBytes) override
  {
    mBodyBytes += aBytes.size();
    if (mPausing) {
      mExchange->PauseBody(true);
    }
  }
  void OnRequestEnd() override { mBodyEnded = true; }
  void OnDisconnect() override { mGone = true; }
  void OnResponseSent() override {}

  ServerExchangePtr mExchange;
  std::atomic<std::size_t> mBodyBytes = 0;
  std::atomic<bool> mPausing = false;
  std::atomic<bool> mBodyEnded = false;
  std::atomic<bool> mGone = false;
};

/// A listener with a clock that the test sets forward.
class Listener
{
public:
  explicit Listener(bool aPausing = false)
  {
    mThread.Run([&] {
      HttpListenerSettings settings;
      settings.mAddress = { "127.0.0.1", 0 };
      const auto now = [this] { return core::Clock::now() + mAhead; };
      mListener = std::move(*HttpListener::Create(
        mThread.Io(),
        settings,
        now,
        [this, aPausing](const ServerExchangePtr& aExchange) {
          auto request = std::make_shared<Request>();
          request->mExchange = aExchange;
          request->mPausing = aPausing;
          mRequests.push_back(request);
          return request;
        }));
    });
  }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  ~Listener()
  {
    mThread.Run([this] {
      mRequests.clear();
      mListener.reset();
    });
  }

  RawSocket Connect() { return RawSocket(mListener->LocalAddress()); }
  /// Waits until the condition holds on the thread of the listener.
  template<class Condition>
  bool Becomes(Condition aCondition)
  {
    bool holds = false;
    for (int i = 0; i < 400 && !holds; ++i) {
      mThread.Run([&] { holds = aCondition(); });
      std::this_thread::sleep_for(milliseconds(5));
    }
    return holds;
  }
  bool HasRequests(std::size_t aCount)
  {
    return Becomes([&] { return mRequests.size() >= aCount; });
  }
  void Respond(std::size_t aIndex, unsigned aStatus, const std::string& aBody)
  {
    mThread.Run([&] {
      mRequests.at(aIndex)->mExchange->SendResponse(aStatus, {}, aBody);
    });
  }
  void Advance(milliseconds aTime)
  {
    mThread.Run([&] {
      mAhead += aTime;
      mListener->Tick();
    });
  }

  IoThread mThread;
  std::unique_ptr<HttpListener> mListener;
  std::vector<std::shared_ptr<Request>> mRequests;
  core::Duration mAhead{ 0 };
};

std::string
Upload(const std::string& aPath, std::size_t aBytes)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(aBytes) + "\r\n\r\n";
}

std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\n\r\n";
}

std::size_t
CountOf(const std::string& aText, const std::string& aPart)
{
  std::size_t count = 0;
  for (auto at = aText.find(aPart); at != std::string::npos;
       at = aText.find(aPart, at + 1)) {
    ++count;
  }
  return count;
}

constexpr std::size_t kUploadBytes = 300'000;

} // namespace

// Guards against a connection that is never read again after the response to a
// request whose body was paused.
TEST_CASE("a response ends the pause of its request's body")
{
  for (const bool chunked : { false, true }) {
    CAPTURE(chunked);
    Listener listener(true);
    RawSocket client = listener.Connect();
    std::string upload = Upload("/1", kUploadBytes);
    std::string body(kUploadBytes, 'b');
    if (chunked) {
      upload = "POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
      body.insert(0, "493e0\r\n");
      body += "\r\n0\r\n\r\n";
    }
    client.Write(upload);
    std::thread writer([&] { client.Write(body + Get("/2")); });
    REQUIRE(listener.HasRequests(1));
    CHECK(
      listener.Becomes([&] { return listener.mRequests[0]->mBodyBytes > 0; }));
    std::this_thread::sleep_for(milliseconds(50));
    CHECK(listener.mRequests[0]->mBodyBytes < kUploadBytes);
    listener.Respond(0, 503, "refused");
    const bool read = listener.HasRequests(2);
    CHECK(read);
    if (read) {
      listener.Respond(1, 200, "second");
      CHECK(client.ReadUntil("second").find("refused") != std::string::npos);
    } else {
      client.Close();
    }
    writer.join();
  }
}

// Guards against the same connection when the response waits for earlier ones.
TEST_CASE("a response that waits for others ends the pause, too")
{
  Listener listener(true);
  RawSocket client = listener.Connect();
  client.Write(Get("/1") + Upload("/2", 3) + "b");
  REQUIRE(listener.HasRequests(2));
  CHECK(
    listener.Becomes([&] { return listener.mRequests[1]->mBodyBytes == 1; }));
  listener.Respond(1, 503, "refused");
  client.Write("bb" + Get("/3"));
  REQUIRE(listener.HasRequests(3));
  listener.Respond(0, 200, "first");
  listener.Respond(2, 200, "third");
  const std::string text = client.ReadUntil("third");
  CHECK(text.find("first") < text.find("refused"));
}

// Guards against calls that go on for a caller that left while the body was
// paused.
TEST_CASE("a paused connection notices that its caller has gone")
{
  for (const bool reset : { false, true }) {
    CAPTURE(reset);
    Listener listener(true);
    RawSocket client = listener.Connect();
    client.Write(Upload("/1", kUploadBytes) + "b");
    REQUIRE(listener.HasRequests(1));
    CHECK(
      listener.Becomes([&] { return listener.mRequests[0]->mBodyBytes > 0; }));
    client.Write(std::string(10'000, 'b'));
    if (reset) {
      client.ResetOnClose();
    }
    client.Close();
    CHECK(
      listener.Becomes([&] { return listener.mRequests[0]->mGone.load(); }));
  }
}

// Guards against a caller that never reads its response, leaves with a reset
// and is never noticed.
TEST_CASE("the reset of a caller that does not read its response is noticed")
{
  Listener listener;
  RawSocket client = listener.Connect();
  client.Write(Get("/1") + Get("/2"));
  REQUIRE(listener.HasRequests(2));
  listener.Respond(0, 200, std::string(std::size_t{ 16 } * 1024 * 1024, 'x'));
  std::this_thread::sleep_for(milliseconds(50));
  client.ResetOnClose();
  client.Close();
  CHECK(listener.Becomes([&] { return listener.mRequests[1]->mGone.load(); }));
}

// Guards against reading without end a body whose request is answered.
TEST_CASE("the rest of an answered body is read up to a bound")
{
  Listener listener;
  RawSocket client = listener.Connect();
  client.Write("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  REQUIRE(listener.HasRequests(1));
  listener.Respond(0, 503, "refused");
  CHECK(client.ReadUntil("refused").starts_with("HTTP/1.1 503"));
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'b') + "\r\n";
  std::size_t sent = 0;
  const auto until = core::Clock::now() + std::chrono::seconds(4);
  while (core::Clock::now() < until &&
         client.TryWrite(chunk, milliseconds(1500)) == chunk.size()) {
    sent += chunk.size();
    listener.Advance(milliseconds(10));
  }
  CHECK(sent > std::size_t{ 512 } * 1024);
  CHECK(listener.mRequests[0]->mBodyBytes < std::size_t{ 2 } * 1024 * 1024);
  CHECK(listener.mRequests[0]->mGone);
}

// Guards against a response that is cut off because a later request of its
// connection was answered early and its body has no end.
TEST_CASE("a body without end does not cut off the responses before it")
{
  Listener listener;
  RawSocket client = listener.Connect();
  client.Write(Get("/1") +
               "POST /2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  REQUIRE(listener.HasRequests(2));
  listener.Respond(1, 503, "refused");
  const std::string chunk = "4000\r\n" + std::string(0x4000, 'b') + "\r\n";
  for (int i = 0; i < 1000; ++i) {
    if (client.TryWrite(chunk, milliseconds(200)) < chunk.size()) {
      break;
    }
  }
  CHECK(listener.mRequests[1]->mBodyBytes < std::size_t{ 2 } * 1024 * 1024);
  listener.Respond(0, 200, "first");
  CHECK(client.ReadUntil("refused").find("first") != std::string::npos);
}

// Guards against a caller that sends half a body and holds its connection, and
// the time to stop, for good.
TEST_CASE("a connection whose answered body never ends is closed")
{
  Listener listener;
  RawSocket client = listener.Connect();
  client.Write(Upload("/1", 100) + "half");
  REQUIRE(listener.HasRequests(1));
  listener.Respond(0, 504, "late");
  client.ReadUntil("late");
  listener.Advance(milliseconds(5500));
  listener.Advance(milliseconds(1500));
  CHECK(listener.Becomes([&] { return listener.mRequests[0]->mGone.load(); }));
  CHECK(listener.mListener->BusyConnections() == 0);
  CHECK(client.WaitForClose());
}

// Guards against an upload that waits for its interim response for good, since
// it was not the first request in flight on its connection.
TEST_CASE("a pipelined request gets its interim response in its turn")
{
  Listener listener;
  RawSocket client = listener.Connect();
  client.Write(Get("/1") + "POST /2 HTTP/1.1\r\nContent-Length: 4\r\n"
                           "Expect: 100-continue\r\n\r\n");
  REQUIRE(listener.HasRequests(2));
  listener.Respond(0, 200, "first");
  const std::string text = client.ReadUntil("100 Continue\r\n\r\n");
  CHECK(text.find("first") < text.find("100 Continue"));
  client.Write("body" + Get("/3"));
  REQUIRE(listener.HasRequests(3));
  listener.Respond(1, 200, "second");
  listener.Respond(2, 200, "third");
  CHECK(client.ReadUntil("third").find("100 Continue") == std::string::npos);
}

// Guards against the next request being taken for the body of one that was
// refused instead of being told to continue.
TEST_CASE("a request refused before its interim response closes")
{
  Listener listener;
  RawSocket client = listener.Connect();
  client.Write(Get("/1") + "POST /2 HTTP/1.1\r\nContent-Length: 4\r\n"
                           "Expect: 100-continue\r\n\r\n");
  REQUIRE(listener.HasRequests(2));
  listener.Respond(1, 503, "refused");
  listener.Respond(0, 200, "first");
  const std::string text = client.ReadToEnd();
  CHECK(text.find("100 Continue") == std::string::npos);
  CHECK(CountOf(text, "Connection: close\r\n") == 1);
  CHECK(text.find("first") < text.find("Connection: close"));
}

// Guards against an upload that is held back by the limit of requests in flight
// and whose body is then never read.
TEST_CASE("more pipelined requests than the limit are all served")
{
  constexpr std::size_t kRequests = 80;
  Listener listener;
  RawSocket client = listener.Connect();
  std::string text;
  for (std::size_t i = 1; i <= kRequests; ++i) {
    const std::string path = "/" + std::to_string(i);
    text += i % 8 == 0 ? Upload(path, 4) + "body" : Get(path);
  }
  client.Write(text);
  for (std::size_t i = 0; i < kRequests; ++i) {
    REQUIRE(listener.HasRequests(i + 1));
    REQUIRE(listener.Becomes(
      [&] { return listener.mRequests[i]->mBodyEnded.load(); }));
    listener.Respond(i, 200, "end");
  }
  CHECK(listener.mRequests.size() == kRequests);
  std::size_t responses = 0;
  while (responses < kRequests) {
    const std::string response = client.ReadUntil("end");
    REQUIRE(response.starts_with("HTTP/1.1 200"));
    ++responses;
  }
}

// Guards against a stop, or a last request that asks for the close, that drops
// the requests in flight behind the first: callers would send them again.
TEST_CASE("only the response to the last request in flight announces the close")
{
  for (const bool stops : { true, false }) {
    CAPTURE(stops);
    Listener listener;
    RawSocket client = listener.Connect();
    client.Write(
      Get("/1") + Get("/2") +
      (stops ? Get("/3") : "GET /3 HTTP/1.1\r\nConnection: close\r\n\r\n"));
    REQUIRE(listener.HasRequests(3));
    if (stops) {
      listener.mThread.Run([&] { listener.mListener->StartStopping(); });
    }
    listener.Respond(0, 200, "first");
    listener.Respond(2, 200, "third");
    client.Write(Get("/4"));
    listener.Respond(1, 200, "second");
    const std::string text = client.ReadToEnd();
    CHECK(CountOf(text, "Connection: close\r\n") == 1);
    CHECK(text.find("second") < text.find("Connection: close"));
    CHECK(text.ends_with("third"));
    CHECK(listener.mRequests.size() == 3);
  }
}
