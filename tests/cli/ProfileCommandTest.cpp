#include "cli/ProfileCommand.h"
#include "admin/ProfileRoutes.h"
#include "tests/profiles/Documents.h"
#include "tests/store/FakePlatform.h"
#include "tests/store/ScriptedServer.h"
#include "tests/store/StandInPlatform.h"

#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace nutmegrock;
using namespace nutmegrock::tests;

namespace {

/// Result of one run of the command.
struct Outcome
{
  int mCode = 0;
  std::string mOut;
  std::string mErr;
};

Outcome
Run(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  const int code = cli::RunProfileCommand(aArguments, out, err);
  return { code, out.str(), err.str() };
}

/// A file in the temporary folder of the system, removed on destruction.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : mPath(std::filesystem::temp_directory_path() /
            ("nutmegrock-test-" + std::to_string(::getpid()) + "-" +
             std::to_string(sNext++)))
  {
    std::ofstream(mPath) << aText;
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  ~TemporaryFile() { std::filesystem::remove(mPath); }

  std::string Path() const { return mPath.string(); }

private:
  static inline int sNext = 0;
  std::filesystem::path mPath;
};

/// The administration API of a node with an in-memory store.
struct Node
{
  Node()
  {
    for (int i = 0; i < 20 && !mServer; ++i) {
      mAddress = FreeAddress();
      auto server = admin::AdminServer::Open(
        { .mListen = mAddress },
        admin::ProfileRoutes::Make(
          { mStore, mStore, mHolder, {}, [](unsigned) {} }));
      if (server) {
        mServer = std::move(*server);
      }
    }
    REQUIRE(mServer != nullptr);
  }

  Outcome Run(std::vector<std::string> aArguments) const
  {
    aArguments.insert(aArguments.end(), { "--admin", mAddress.ToString() });
    return ::Run(aArguments);
  }

  FakePlatform mStore;
  profiles::ActiveProfiles mHolder;
  core::Address mAddress;
  std::unique_ptr<admin::AdminServer> mServer;
};

} // namespace

TEST_SUITE("cli/ProfileCommand")
{
  TEST_CASE("usage")
  {
    struct Case
    {
      std::vector<std::string> mArguments;
      int mCode;
    };
    const TemporaryFile file(DocumentOf(1000));
    const std::vector<Case> cases = {
      { {}, 2 },
      { { "--help" }, 0 },
      { { "nope" }, 2 },
      { { "check", "--help" }, 0 },
      { { "publish", "--help" }, 0 },
      { { "show", "--help" }, 0 },
      { { "history", "--help" }, 0 },
      { { "diff", "--help" }, 0 },
      { { "check" }, 2 },
      { { "check", "/does/not/exist" }, 2 },
      { { "check", file.Path(), "--nope" }, 2 },
      { { "publish", file.Path() }, 2 },
      { { "publish", file.Path(), "--expect", "-1" }, 2 },
      { { "publish", file.Path(), "--expect", "1", "--admin", "x" }, 2 },
      { { "show", "--at", "x" }, 2 },
      { { "history", "--limit", "x" }, 2 },
      { { "diff", "1" }, 2 },
      { { "diff", "1", "x" }, 2 },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mArguments.size());
      const Outcome outcome = Run(entry.mArguments);
      CHECK(outcome.mCode == entry.mCode);
      // Help goes to the output, usage errors to the error output.
      CHECK(outcome.mOut.empty() == (entry.mCode != 0));
      CHECK(outcome.mErr.empty() == (entry.mCode == 0));
    }
  }

  TEST_CASE("check needs no node")
  {
    const TemporaryFile valid(DocumentOf(1000));
    const TemporaryFile invalid("profiles: {}\nservices: 3\n");
    CHECK(Run({ "check", valid.Path() }).mCode == 0);
    const Outcome outcome = Run({ "check", invalid.Path() });
    CHECK(outcome.mCode == 1);
    CHECK(outcome.mOut.find("line 2: services: must be a map") !=
          std::string::npos);
    const auto json =
      web::json::value::parse(Run({ "check", invalid.Path(), "--json" }).mOut);
    CHECK(json.at("faults").size() == 2);
  }

  TEST_CASE("publish, show, history and diff")
  {
    const Node node;
    const TemporaryFile first(DocumentOf(1000));
    const TemporaryFile second(DocumentOf(2000));
    const std::vector<std::string> publishFirst = { "publish",  first.Path(),
                                                    "--expect", "0",
                                                    "--author", "Ilze K." };
    // Without --yes the differences are printed and nothing is published.
    const Outcome shown = node.Run(publishFirst);
    CHECK(shown.mCode == 1);
    CHECK(shown.mOut.find("services.till.default: added deposit") !=
          std::string::npos);
    CHECK(node.Run({ "show" }).mCode == 1);

    auto confirmed = publishFirst;
    confirmed.emplace_back("--yes");
    CHECK(node.Run(confirmed).mOut.ends_with("published as version 1\n"));
    const Outcome published = node.Run(
      { "publish", second.Path(), "--expect", "1", "--yes", "--json" });
    CHECK(published.mCode == 0);
    const auto json = web::json::value::parse(published.mOut);
    CHECK(json.at("published").at("version").as_integer() == 2);
    CHECK(json.at("changes").size() == 1);

    const Outcome current = node.Run({ "show" });
    CHECK(current.mOut.starts_with("# version 2, published by "));
    CHECK(current.mOut.ends_with(DocumentOf(2000)));
    CHECK(node.Run({ "show", "--at", "1" }).mOut.ends_with(DocumentOf(1000)));
    // No hook activates a set in this test, so nothing is in force.
    CHECK(node.Run({ "show", "--in-force" }).mCode == 1);
    const Outcome history = node.Run({ "history" });
    CHECK(std::count(history.mOut.begin(), history.mOut.end(), '\n') == 2);
    CHECK(history.mOut.ends_with("Ilze K.\n"));
    CHECK(node.Run({ "diff", "1", "2" }).mOut ==
          "profiles.deposit.timeout_ms: 1000 -> 2000\n");
    CHECK(node.Run({ "diff", "2", "2" }).mOut == "no difference\n");
  }

  // Guards against an exit code that lets a script continue after a rejection.
  TEST_CASE("exit codes of rejections and failures")
  {
    Node node;
    const TemporaryFile valid(DocumentOf(1000));
    const TemporaryFile invalid("x");
    const std::vector<std::string> publish = {
      "publish", valid.Path(), "--expect", "0", "--yes"
    };
    CHECK(
      node.Run({ "publish", invalid.Path(), "--expect", "0", "--yes" }).mCode ==
      1);
    CHECK(
      node.Run({ "publish", valid.Path(), "--expect", "7", "--yes" }).mCode ==
      1);
    REQUIRE(node.Run(publish).mCode == 0);
    const Outcome conflict = node.Run(publish);
    CHECK(conflict.mCode == 1);
    CHECK(conflict.mErr.find("version_conflict: version 1 was published by") !=
          std::string::npos);
    CHECK(node.Run({ "show", "--at", "9" }).mCode == 1);

    node.mStore.State().SetFaults({ .mDown = true });
    CHECK(node.Run({ "show" }).mCode == 3);
    CHECK(
      node.Run({ "publish", valid.Path(), "--expect", "1", "--yes" }).mCode ==
      3);
    node.mServer.reset();
    CHECK(node.Run({ "show" }).mCode == 3);
    CHECK(node.Run({ "history", "--json" }).mCode == 3);
    CHECK(node.Run(publish).mCode == 3);
  }

  // Guards against a publication that cannot be repeated safely after the
  // connection to the node was lost.
  TEST_CASE(
    "after a lost response the publication id to repeat with is printed")
  {
    const std::string changes = R"({"from":0,"changes":[]})";
    const ScriptedServer server(
      { { "HTTP/1.1 200 OK\r\nContent-Length: " +
          std::to_string(changes.size()) + "\r\n\r\n" + changes },
        { "", true } });
    const TemporaryFile file(DocumentOf(1000));
    const Outcome outcome = Run({ "publish",
                                  file.Path(),
                                  "--expect",
                                  "0",
                                  "--yes",
                                  "--publication",
                                  "abc",
                                  "--admin",
                                  server.Url().substr(7) });
    CHECK(outcome.mCode == 3);
    CHECK(outcome.mErr.find("add --publication abc") != std::string::npos);
    CHECK(server.Methods() == std::vector<std::string>{ "POST", "PUT" });
  }

  TEST_CASE("a response that is not from the API counts as unreachable")
  {
    for (const std::string body : { "", "hello", "{}", "[1]" }) {
      CAPTURE(body);
      const ScriptedServer server(
        { { "HTTP/1.1 200 OK\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body } });
      CHECK(
        Run({ "diff", "1", "2", "--admin", server.Url().substr(7) }).mCode ==
        3);
    }
  }
}
