#include "experiment/ChildProcess.h"
#include "experiment/ControlClient.h"
#include "experiment/Interrupt.h"
#include "experiment/LoadGenerator.h"
#include "experiment/PortAllocator.h"

#include <cpprest/json.h>
#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <unistd.h>

using namespace nutmegrock;
using namespace nutmegrock::experiment;

namespace {

/// A stand-in backend server without a node, started from the folder of this
/// program.
class Server
{
public:
  Server(const std::string& aMeanMs, const std::string& aConnections)
    : mPorts(static_cast<std::uint64_t>(::getpid()))
    , mAddress(mPorts.Next().value())
    , mProcess(
        ChildProcess::Start(
          { (std::filesystem::read_symlink("/proc/self/exe").parent_path() /
             "standin_backend")
              .string(),
            "--listen",
            mAddress.ToString(),
            "--service",
            "s",
            "--slots",
            "2",
            "--connections",
            aConnections,
            "--mean-ms",
            aMeanMs },
          "/dev/null")
          .value())
  {
    Wait([this] { return !Get(mAddress, "/counts").empty(); });
  }

  static void Wait(const std::function<bool()>& aCondition)
  {
    for (int i = 0; i < 3000 && !aCondition(); ++i) {
      Pause(std::chrono::milliseconds(10));
    }
    REQUIRE(aCondition());
  }

  std::uint64_t Count(const std::string& aName) const
  {
    const auto counts = web::json::value::parse(Get(mAddress, "/counts"));
    return counts.at(aName).as_number().to_uint64();
  }

  LoadSettings Load() const
  {
    LoadSettings settings;
    settings.mSpec.mKinds = { { "k", "s", "p", Plan{}, 1.0, false, 5000 } };
    settings.mEntryNodes = { mAddress };
    settings.mDirect = true;
    return settings;
  }

  PortAllocator mPorts;
  core::Address mAddress;
  ChildProcess mProcess;
};

} // namespace

TEST_SUITE("experiment/StandinBackend")
{
  TEST_CASE("each operation runs once and its upload is checked")
  {
    const Server server("1", "200");
    LoadGenerator load(server.Load());
    load.SetRate(200.0);
    Server::Wait([&] { return load.EndedCount() >= 50; });
    load.SetRate(0.0);
    Server::Wait([&] { return load.InProgress() == 0; });
    const auto records = load.Records();
    for (const OperationRecord& record : records) {
      CHECK(record.mOutcome == OutcomeKind::Completed);
    }
    CHECK(server.Count("runs") == records.size());
    CHECK(server.Count("wasted_slot_us") == 0);
  }

  // Otherwise work for a client that has disconnected would count as useful.
  TEST_CASE(
    "a closed connection ends its run, and its slot time counts as wasted")
  {
    const Server server("60000", "200");
    const auto result = Exchange(server.mAddress,
                                 boost::beast::http::verb::get,
                                 "/p",
                                 "",
                                 std::chrono::milliseconds(300),
                                 "op");
    CHECK(result.mError);
    Server::Wait([&] { return server.Count("failed_runs") == 1; });
    CHECK(server.Count("wasted_slot_us") > 0);
  }

  TEST_CASE("a full queue responds with 503 not-run and does not run the work")
  {
    const Server server("60000", "3");
    LoadGenerator load(server.Load());
    load.SetRate(200.0);
    // Two requests run and one waits; all others are refused.
    Server::Wait([&] { return load.EndedCount() >= 1; });
    const OperationRecord first = load.Records().front();
    CHECK(first.mOutcome == OutcomeKind::Refused);
    CHECK(first.mAllNotRun);
    CHECK(server.Count("runs") == 2);
    // Control requests succeed although all connections are in use.
    CHECK(Post(server.mAddress, "/control", R"({"slowdown":2})"));
  }

  TEST_CASE("fault switches are validated, and shed and fail take effect")
  {
    const Server server("0", "200");
    CHECK_FALSE(Post(server.mAddress, "/control", R"({"unknown":1})"));
    CHECK_FALSE(Post(server.mAddress, "/control", "{"));
    CHECK(Post(server.mAddress, "/control", R"({"shed":1})"));
    CHECK_FALSE(Post(server.mAddress, "/p", ""));
    CHECK(server.Count("runs") == 0);
    CHECK(Post(server.mAddress, "/control", R"({"shed":0,"fail":1})"));
    CHECK_FALSE(Post(server.mAddress, "/p", ""));
    CHECK(server.Count("runs") == 1);
  }

  TEST_CASE("a run in flight finishes after SIGTERM")
  {
    Server server("1500", "200");
    LoadGenerator load(server.Load());
    load.SetRate(500.0);
    Server::Wait([&] { return load.InProgress() > 0; });
    load.SetRate(0.0);
    Server::Wait([&] { return server.Count("runs") > 0; });
    server.mProcess.Signal(SIGTERM);
    CHECK(server.mProcess.Wait(std::chrono::seconds(60)) == 0);
    Server::Wait([&] { return load.InProgress() == 0; });
    CHECK(load.Records().front().mOutcome == OutcomeKind::Completed);
  }
}
