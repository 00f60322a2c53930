#include "core/Time.h"
#include "proxy/HttpListener.h"
#include "tests/transport/IoThread.h"
#include "tests/transport/RawSocket.h"

#include <doctest/doctest.h>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::proxy;
using nutmegrock::tests::IoThread;
using nutmegrock::tests::RawSocket;
using std::chrono::milliseconds;

namespace {

/// A listener that answers at once, or keeps its requests.
struct Node
{
  explicit Node(bool aAnswers, std::size_t aBodyBytes = 0)
  {
    mThread.Run([&] {
      HttpListenerSettings settings;
      settings.mAddress = { "127.0.0.1", 0 };
      mListener = std::move(*HttpListener::Create(
        mThread.Io(),
        settings,
        [] { return core::Clock::now(); },
        [this, aAnswers, aBodyBytes](
          const ServerExchangePtr& aExchange) -> std::shared_ptr<RequestSink> {
          mAhead += aExchange->IsAhead() ? 1 : 0;
          ++mCount;
          if (aAnswers) {
            aExchange->SendResponse(mStatus, {}, std::string(aBodyBytes, 'x'));
          } else {
            mKept.push_back(aExchange);
          }
          return nullptr;
        }));
    });
  }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  ~Node()
  {
    mThread.Run([this] {
      mKept.clear();
      mListener.reset();
    });
  }
  /// The requests that have begun, once no more do.
  std::size_t SettledCount()
  {
    std::size_t before = 0;
    std::size_t count = 0;
    do {
      before = count;
      std::this_thread::sleep_for(milliseconds(300));
      mThread.Run([&] { count = mCount; });
    } while (count != before);
    return count;
  }

  IoThread mThread;
  std::unique_ptr<HttpListener> mListener;
  std::vector<ServerExchangePtr> mKept;
  std::size_t mCount = 0;
  std::size_t mAhead = 0;
  unsigned mStatus = 200;
};

std::string
Requests(std::size_t aCount)
{
  std::string text;
  for (std::size_t i = 0; i < aCount; ++i) {
    text += "GET / HTTP/1.1\r\n\r\n";
  }
  return text;
}

} // namespace

// Guards against one connection that takes the slots of a server, and against
// one that is not told from ordinary ones.
TEST_CASE("a connection has few requests in flight, and the rest are ahead")
{
  Node node(false);
  RawSocket client(node.mListener->LocalAddress());
  client.Write(Requests(100));
  CHECK(node.SettledCount() == 4);
  node.mThread.Run([&] {
    CHECK(node.mAhead == 0);
    for (std::size_t i = 0; i < 4; ++i) {
      node.mKept[i]->SendResponse(200, {}, {});
    }
  });
  CHECK(node.SettledCount() == 8);
  node.mThread.Run([&] { CHECK(node.mAhead == 4); });
}

// Guards against many connections that take all slots with few requests each,
// and against one that gets none at all.
TEST_CASE("all connections together have few requests behind their first")
{
  constexpr std::size_t kClients = 60;
  Node node(false);
  std::vector<std::unique_ptr<RawSocket>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(
      std::make_unique<RawSocket>(node.mListener->LocalAddress()));
    clients.back()->Write(Requests(10));
  }
  const std::size_t count = node.SettledCount();
  CHECK(count >= kClients);
  CHECK(count <= kClients + 64 + 4);
}

// Guards against responses that pile up in the memory of the node because their
// caller does not read them.
TEST_CASE("no request begins while the responses before it are not read")
{
  constexpr std::size_t kRequests = 2'000;
  constexpr std::size_t kBytes = 20'000;
  Node node(true, kBytes);
  RawSocket client(node.mListener->LocalAddress());
  client.Write(Requests(kRequests));
  const std::size_t count = node.SettledCount();
  CHECK(count > 0);
  CHECK(count < kRequests);
  // The caller reads on and gets the rest.
  std::string text;
  std::size_t responses = 0;
  while (responses < kRequests) {
    client.ReadUntil("\r\n\r\n" + std::string(kBytes, 'x'));
    ++responses;
  }
  node.mThread.Run([&] { CHECK(node.mCount == kRequests); });
}

// Guards against refused requests that are repeated as fast as this node can
// refuse them.
TEST_CASE("after a refused request that was sent ahead the connection pauses")
{
  Node node(true);
  node.mThread.Run([&] { node.mStatus = 503; });
  RawSocket client(node.mListener->LocalAddress());
  client.Write(Requests(1'000));
  std::this_thread::sleep_for(milliseconds(500));
  node.mThread.Run([&] {
    CHECK(node.mCount > 4);
    CHECK(node.mCount < 50);
  });
}
