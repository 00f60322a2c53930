#include "gateway/ServerProbe.h"

#include "gateway/ServerLoad.h"
#include "tests/transport/IoThread.h"
#include "tests/transport/RawSocket.h"

#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using nutmegrock::tests::IoThread;
using nutmegrock::tests::RawServer;
using nutmegrock::tests::RawSocket;

namespace {

/// A pool on a thread of its own that sends one health check.
class ProbeThread
{
public:
  explicit ProbeThread(const core::Address& aServer)
  {
    mThread.Run([&] {
      mPool = std::make_unique<proxy::ClientPool>(
        mThread.Io(), proxy::HeaderNames(), [] { return core::Clock::now(); });
      mProbe = ServerProbe::Send(
        *mPool, aServer, "/health", [this](const ServerHealth& aHealth) {
          mHealth = aHealth;
        });
    });
  }
  ProbeThread(const ProbeThread&) = delete;
  ProbeThread& operator=(const ProbeThread&) = delete;
  ~ProbeThread()
  {
    mThread.Run([this] {
      mProbe.reset();
      mPool.reset();
    });
  }
  void Cancel()
  {
    mThread.Run([this] { mProbe.reset(); });
  }
  std::optional<ServerHealth> Health()
  {
    std::optional<ServerHealth> health;
    mThread.Run([&] { health = mHealth; });
    return health;
  }

private:
  IoThread mThread;
  std::unique_ptr<proxy::ClientPool> mPool;
  std::shared_ptr<ServerProbe> mProbe;
  std::optional<ServerHealth> mHealth;
};

const std::string kHealthy = "HTTP/1.1 200 OK\r\nNutmegrock-Server: i-1\r\n"
                             "Nutmegrock-Load: 0,0,4\r\n";

} // namespace

TEST_CASE("a health check reports the identity and slots of the server")
{
  RawServer server;
  ProbeThread probe(server.Address());
  RawSocket connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Write(kHealthy + "Content-Length: 2\r\n\r\nok");
  for (int i = 0; i < 400 && !probe.Health(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(probe.Health() == ServerHealth{ "i-1", 4 });
}

// Guards against a server that counts as having no slots because it reports how
// long its work takes, too.
TEST_CASE("a health check reports how long work takes on the server")
{
  RawServer server;
  ProbeThread probe(server.Address());
  RawSocket connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Write("HTTP/1.1 200 OK\r\nNutmegrock-Server: i-1\r\n"
                   "Nutmegrock-Load: 0,0,4,137\r\n"
                   "Content-Length: 2\r\n\r\nok");
  for (int i = 0; i < 400 && !probe.Health(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(probe.Health() == ServerHealth{ "i-1", 4, {}, false, 137 });
}

// Guards against an impossible value that excludes a server or gives it all
// work, and against one that hides the other values.
TEST_CASE("an impossible work time of a server is ignored")
{
  CHECK(ParseServerLoad("1,2,3") == ServerLoad{ 1, 2, 3, {} });
  CHECK(ParseServerLoad("1,2,3,137") == ServerLoad{ 1, 2, 3, 137 });
  CHECK(ParseServerLoad("1,2,3,99.6") == ServerLoad{ 1, 2, 3, 100 });
  CHECK(ParseServerLoad("x,,3,137,new") == ServerLoad{ {}, {}, 3, 137 });
  for (const char* value : { "",
                             "0",
                             "-100",
                             "nan",
                             "inf",
                             "-inf",
                             "1e300",
                             "100001",
                             "x",
                             "1 0" }) {
    CAPTURE(value);
    CHECK(ParseServerLoad(std::string("1,2,3,") + value) ==
          ServerLoad{ 1, 2, 3, {} });
  }
}

// Guards against checks without a result for servers that report no load.
TEST_CASE("a health check without a load reports the identity")
{
  RawServer server;
  ProbeThread probe(server.Address());
  RawSocket connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Write("HTTP/1.1 200 OK\r\nNutmegrock-Server: i-1\r\n"
                   "Content-Length: 2\r\n\r\nok");
  for (int i = 0; i < 400 && !probe.Health(); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(probe.Health() == ServerHealth{ "i-1", 0 });
}

// Guards against a check that a busy server rejects like any request and that
// is taken for a sign that the server leaves.
TEST_CASE("a health check tells a leaving server from a busy one")
{
  for (const bool busy : { false, true }) {
    CAPTURE(busy);
    RawServer server;
    ProbeThread probe(server.Address());
    RawSocket connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Write(std::string("HTTP/1.1 503 No\r\n") +
                     (busy ? "Nutmegrock-Run: not-run\r\n" : "") +
                     "Content-Length: 0\r\nConnection: close\r\n\r\n");
    CHECK(connection.WaitForClose());
    CHECK(probe.Health().has_value() == !busy);
    CHECK((busy || !probe.Health()->mHealthy));
  }
}

// Guards against a server that answers a health check with bytes without end,
// which would be read as long as both processes live.
TEST_CASE("a health check whose body has no end is cancelled")
{
  RawServer server;
  const ProbeThread probe(server.Address());
  RawSocket connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Write(kHealthy + "\r\n");
  const std::string bytes(std::size_t{ 64 } * 1024 * 1024, 'x');
  CHECK(connection.TryWrite(bytes, std::chrono::seconds(2)) < bytes.size());
}

// Guards against a connection that stays open after a health check without a
// response was given up.
TEST_CASE("destroying a health check closes its connection")
{
  RawServer server;
  ProbeThread probe(server.Address());
  RawSocket connection = server.Accept();
  connection.ReadUntil("\r\n\r\n");
  connection.Write("HTTP/1.1 200 OK\r\n");
  probe.Cancel();
  CHECK(connection.WaitForClose());
}

// Guards against a server that is taken for healthy because of the begin of a
// response that it did not complete.
TEST_CASE("a health check without a complete response tells nothing")
{
  for (const char* body : { "Content-Length: 20\r\n\r\npart", "\r\npart" }) {
    CAPTURE(body);
    RawServer server;
    ProbeThread probe(server.Address());
    RawSocket connection = server.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Write(kHealthy + body);
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    connection.ResetOnClose();
    connection.Close();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    CHECK(!probe.Health().has_value());
  }
}
