// Nodes as real processes whose connections to the store go silent together.
#include "tests/adapter/standin/Documents.h"
#include "tests/adapter/standin/Store.h"
#include "tests/soak/Machine.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace nutmegrock::tests;
using standin::Now;
using standin::SleepFor;

namespace {

// Bounds of the rules, in seconds.
constexpr double kContact = 3;
constexpr double kConfigApply = 2;
// For the driver and the processes of a busy machine.
constexpr double kSlack = 0.1;

/// Ten nodes that know each other and have a version in force.
class Nodes
{
public:
  Nodes()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "nutmegrock-silent-XXXXXX")
        .string();
    REQUIRE(mkdtemp(pattern.data()) != nullptr);
    mFolder = pattern;
    for (int i = 1; i <= kCount; ++i) {
      mMachines.push_back(std::make_unique<Machine>(i, "till", mFolder));
      mStore.Listen(mMachines.back()->Store());
    }
    Write(7, {});
    for (const auto& machine : mMachines) {
      machine->Start();
    }
    constexpr double kStartTime = 15;
    const double until = Now() + kStartTime;
    while (Now() < until && !KnowEachOther()) {
      SleepFor(0.1);
    }
    REQUIRE(KnowEachOther());
  }
  Nodes(const Nodes&) = delete;
  Nodes& operator=(const Nodes&) = delete;
  ~Nodes()
  {
    mMachines.clear();
    std::error_code ignored;
    std::filesystem::remove_all(mFolder, ignored);
  }

  void Write(int aVersion, const std::vector<std::string>& aPaths)
  {
    std::vector<standin::RouteSettings> routes{
      { "/read/", "safe", { "till" } }
    };
    for (const std::string& path : aPaths) {
      routes.push_back({ path, "safe", { "till" } });
    }
    mStore.Write("op", "config", standin::DocumentText(aVersion, routes));
  }
  void SilenceStore() { mStore.SilenceOpenConnections(); }
  /// The machines in the order in which nodes rank themselves.
  std::vector<Machine*> ByRank() const
  {
    std::vector<std::pair<std::string, Machine*>> order;
    for (const auto& machine : mMachines) {
      order.emplace_back(machine->StatusField("incarnation ", 1),
                         machine.get());
    }
    std::sort(order.begin(), order.end());
    std::vector<Machine*> machines;
    machines.reserve(order.size());
    for (const auto& [incarnation, machine] : order) {
      machines.push_back(machine);
    }
    return machines;
  }
  static int Ask(const Machine& aMachine, const std::string& aPath)
  {
    standin::RequestSettings request;
    request.mId = "r-" + aPath + std::to_string(Now());
    request.mPath = aPath;
    return standin::Ask(
      aMachine.Caller(), standin::RequestText(request), kConfigApply);
  }

private:
  static constexpr int kCount = 10;

  bool KnowEachOther() const
  {
    return std::all_of(
      mMachines.begin(), mMachines.end(), [](const auto& aMachine) {
        return aMachine->StatusField("\nmembers ", 1) == std::to_string(kCount);
      });
  }

  std::string mFolder;
  standin::Store mStore;
  std::vector<std::unique_ptr<Machine>> mMachines;
};

} // namespace

// Guards against a confirmed version that is not in force in time, rule CONFIG:
// the connections to the store went silent, the nodes that were to notice it
// for all failed together, and no other one looked.
TEST_CASE("nodes that are left alone with a silent store follow it in time")
{
  constexpr std::size_t kPaused = 6;
  Nodes nodes;
  const std::vector<Machine*> machines = nodes.ByRank();
  // So that all watches have just begun.
  nodes.Write(8, { "/before/" });
  SleepFor(1);
  for (std::size_t i = 0; i < kPaused; ++i) {
    machines[i]->Signal(SIGSTOP);
  }
  nodes.SilenceStore();
  SleepFor(kContact);
  nodes.Write(9, { "/before/", "/added/" });
  SleepFor(kConfigApply + kSlack);
  for (std::size_t i = kPaused; i < machines.size(); ++i) {
    CAPTURE(i);
    const int status = Nodes::Ask(*machines[i], "/added/");
    CHECK(status != 404);
    // No server of the service has announced itself.
    CHECK(status == 503);
    CHECK(Nodes::Ask(*machines[i], "/never/") == 404);
  }
}
