#include "tests/process/NodeProcess.h"

#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

using namespace nutmegrock;
using nutmegrock::tests::NodeProcess;
using namespace std::chrono_literals;

namespace {

/// A listening socket at the address of a node.
class Holder
{
public:
  Holder(const core::Address& aAddress, int aType)
    : mFd(socket(AF_INET, aType | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aAddress.mPort);
    inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
    REQUIRE(bind(mFd,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof address) == 0);
    if (aType == SOCK_STREAM) {
      REQUIRE(listen(mFd, 1) == 0);
    }
  }
  Holder(const Holder&) = delete;
  Holder& operator=(const Holder&) = delete;
  ~Holder() { Release(); }
  void Release()
  {
    if (mFd >= 0) {
      close(mFd);
      mFd = -1;
    }
  }

private:
  int mFd;
};

/// Starts a node and returns while it reads its settings, before it handles
/// signals; they come from a pipe, whose end for writing is returned.
int
StartWithOpenSettings(NodeProcess& aNode)
{
  const std::string path = aNode.SettingsPath();
  std::filesystem::remove(path);
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  aNode.Start();
  const int pipe = open(path.c_str(), O_WRONLY | O_CLOEXEC);
  REQUIRE(pipe >= 0);
  std::filesystem::remove(path);
  aNode.WriteSettings(aNode.SettingsText());
  return pipe;
}

void
FinishSettings(const NodeProcess& aNode, int aPipe)
{
  // The process may have ended.
  std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
  const std::string text = aNode.SettingsText();
  CHECK(write(aPipe, text.data(), text.size()) ==
        static_cast<ssize_t>(text.size()));
  close(aPipe);
}

} // namespace

// Guards against a reload signal that ends a process that is starting.
TEST_CASE("a signal to reload during the start is handled after it")
{
  NodeProcess node;
  const int pipe = StartWithOpenSettings(node);
  node.Signal(SIGHUP);
  CHECK_FALSE(node.WaitForEnd(100ms).has_value());
  FinishSettings(node, pipe);
  CHECK(node.Answers(5s));
  CHECK(node.WaitForLog("event=reload cause=\"signal\"", 2s));
}

// Guards against a stop signal that ends a starting process as if it failed.
TEST_CASE("a signal to stop during the start is an orderly end")
{
  NodeProcess node;
  const int pipe = StartWithOpenSettings(node);
  node.Signal(SIGTERM);
  FinishSettings(node, pipe);
  CHECK(node.WaitForEnd(6s) == 0);
}

// Guards against a start that fails because its predecessor, or an outgoing
// connection, still holds an address.
TEST_CASE("a node waits for an address that is in use")
{
  struct Case
  {
    core::Address (NodeProcess::*mAddress)() const;
    int mType;
  };
  const Case cases[] = {
    { &NodeProcess::Caller, SOCK_STREAM },
    { &NodeProcess::Peer, SOCK_STREAM },
    { &NodeProcess::Peer, SOCK_DGRAM },
  };
  for (const Case& held : cases) {
    NodeProcess node;
    const core::Address address = (node.*held.mAddress)();
    CAPTURE(address.ToString());
    CAPTURE(held.mType);
    Holder holder(address, held.mType);
    node.Start();
    CHECK(
      node.WaitForLog("event=address_busy address=" + address.ToString(), 5s));
    CHECK_FALSE(node.WaitForEnd(300ms).has_value());
    holder.Release();
    CHECK(node.Answers(5s));
    CHECK(node.WaitForLog("event=addresses_free", 2s));
  }
}

// Guards against a node that cannot be stopped while it waits for an address.
TEST_CASE("a node that waits for an address can be stopped")
{
  NodeProcess node;
  const Holder holder(node.Caller(), SOCK_STREAM);
  node.Start();
  CHECK(node.WaitForLog("event=address_busy", 5s));
  node.Signal(SIGTERM);
  CHECK(node.WaitForEnd(2s) == 0);
}

// Guards against a signal to reload that is delivered without a handler when a
// start ends before the node handles signals.
TEST_CASE("a signal to reload does not change how a start ends")
{
  {
    NodeProcess node;
    const Holder holder(node.Caller(), SOCK_STREAM);
    node.Start();
    CHECK(node.WaitForLog("event=address_busy", 5s));
    node.Signal(SIGHUP);
    node.Signal(SIGTERM);
    CHECK(node.WaitForEnd(2s) == 0);
  }
  {
    NodeProcess node;
    node.WriteSettings("");
    node.Start();
    CHECK(node.WaitForLog("waiting for usable settings", 5s));
    node.Signal(SIGHUP);
    CHECK(node.WaitForEnd(15s) == 1);
  }
}

// Guards against a node that runs with settings that were replaced while it
// waited for an address.
TEST_CASE("a node starts with the settings of the moment")
{
  NodeProcess node;
  Holder holder(node.Caller(), SOCK_STREAM);
  node.Start();
  CHECK(node.WaitForLog("event=address_busy", 5s));
  std::string text = node.SettingsText();
  const std::string name = "\"till\"";
  text.replace(text.find(name), name.size(), "\"tracker\"");
  node.WriteSettings(text);
  std::this_thread::sleep_for(300ms);
  holder.Release();
  CHECK(node.WaitForLog("event=start service=tracker", 5s));
}

// Guards against a node that does not serve because its metrics cannot be read.
TEST_CASE("a node serves while its address for metrics is in use")
{
  NodeProcess node;
  Holder holder(node.Metrics(), SOCK_STREAM);
  node.Start();
  CHECK(node.Answers(5s));
  CHECK(node.WaitForLog(
    "event=address_busy address=" + node.Metrics().ToString(), 2s));
  holder.Release();
  CHECK(node.WaitForLog(
    "event=address_free address=" + node.Metrics().ToString(), 5s));
}

// Guards against a start that fails while the settings file is being replaced.
TEST_CASE("a node waits for a settings file that is not complete yet")
{
  for (const char* text : { "", "node:\n  service: \"till\"\n  reg" }) {
    NodeProcess node;
    CAPTURE(text);
    node.WriteSettings(text);
    node.Start();
    CHECK(node.WaitForLog("waiting for usable settings", 5s));
    CHECK_FALSE(node.WaitForEnd(300ms).has_value());
    node.WriteSettings(node.SettingsText());
    CHECK(node.Answers(5s));
  }
}

// Guards against a node with faulty settings that never ends.
TEST_CASE("a node with faulty settings ends with their faults")
{
  NodeProcess node;
  node.WriteSettings(node.SettingsText() + "unknown: 1\n");
  node.Start();
  CHECK(node.WaitForEnd(15s) == 1);
  CHECK(node.Log().find("unknown: is not a known key") != std::string::npos);
}
