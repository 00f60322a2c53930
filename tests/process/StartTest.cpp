#include "tests/process/NodeProcess.h"

#include <chrono>
#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

using namespace nutmegrock;
using nutmegrock::tests::NodeProcess;
using namespace std::chrono_literals;

namespace {

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
