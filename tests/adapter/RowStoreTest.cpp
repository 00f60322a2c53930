#include "platform/RowStore.h"
#include "core/Digest.h"
#include "core/Time.h"
#include "routes/RouteSync.h"
#include "tests/routes/NumberDocument.h"
#include "tests/store/ScriptedServer.h"

#include <cpprest/asyncrt_utils.h>
#include <doctest/doctest.h>
#include <vector>

using namespace nutmegrock;
using namespace nutmegrock::platform;
using nutmegrock::tests::DecodeNumber;
using nutmegrock::tests::ScriptedServer;

namespace {

std::string
MakeResponse(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// "cm91dGVz" is "routes", "b2xk" is "old".
const std::string kRows =
  R"({"rows":[{"table":"op","part":"","key":"other","value":"b2xk","ver":1},)"
  R"({"table":"op","part":"","key":"config","value":"cm91dGVz","ver":412}],)"
  R"("hasMore":false,"ver":530,"nowMs":51230})";

/// A row with the document "N" in base64.
std::string
RowsOf(const std::string& aBase64, int aVersion)
{
  return R"({"rows":[{"table":"op","part":"","key":"config","value":")" +
         aBase64 + R"("}],"ver":)" + std::to_string(aVersion) + "}";
}

/// Accepts a request and never answers it; the connection stays open.
const ScriptedServer::Step kSilent{ "", false };

/// Time within which nodes have to have got over connections that went silent.
constexpr std::chrono::seconds kMaxSilence{ 3 };

} // namespace

TEST_CASE("the operator's document is read and watched")
{
  ScriptedServer server(
    { { MakeResponse("200 OK", kRows) },
      { MakeResponse("200 OK", R"({"rows":[],"ver":531})") } });
  const auto store = *RowStore::Make(server.Url());
  CHECK(store->Read() == routes::StoredRoutes{ "routes", 530, 51230 });
  CHECK(store->WaitForChange(530, std::chrono::milliseconds(10)) ==
        routes::StoredRoutes{ "", 531 });
}

TEST_CASE("each store fault maps to its error")
{
  struct Case
  {
    ScriptedServer::Step mStep;
    core::ErrorKind mKind;
  };
  using Kind = core::ErrorKind;
  const Case cases[] = {
    { { MakeResponse("410 Gone", "{}") }, Kind::NotFound },
    { { MakeResponse("503 Busy", "{}") }, Kind::StoreUnavailable },
    { { MakeResponse("429 Slow", "{}") }, Kind::StoreUnavailable },
    { { MakeResponse("200 OK", "not json") }, Kind::StoreUnavailable },
    { { MakeResponse("200 OK", "{}") }, Kind::StoreUnavailable },
    { { MakeResponse("200 OK",
                     R"({"rows":[{"key":"config","value":7}],"ver":1})") },
      Kind::StoreUnavailable },
    { { "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{", true },
      Kind::StoreUnavailable },
    { { "", true }, Kind::StoreUnavailable },
  };
  for (const Case& fault : cases) {
    CAPTURE(fault.mStep.mResponse);
    // A read is resent once when a reused connection ends without a response.
    ScriptedServer server({ fault.mStep, fault.mStep });
    const auto store = *RowStore::Make(server.Url());
    const auto read = store->Read();
    REQUIRE(!read.has_value());
    CHECK(read.error().mKind == fault.mKind);
  }
}

TEST_CASE("a failed conditional write is a conflict")
{
  ScriptedServer server(
    { { MakeResponse("200 OK", R"({"ver":7,"nowMs":1})") },
      { MakeResponse("412 Precondition Failed", R"({"rows":[]})") },
      { MakeResponse("200 OK", R"({"ver":8,"nowMs":1})") } });
  const auto store = *RowStore::Make(server.Url());
  CHECK(store->Write("nodes/r/1", "10.0.0.1:1", 0) == std::uint64_t{ 7 });
  const auto second = store->Write("nodes/r/1", "10.0.0.1:1", 0);
  REQUIRE(!second.has_value());
  CHECK(second.error().mKind == core::ErrorKind::VersionConflict);
  CHECK(store->Remove("nodes/r/1").has_value());
}

// Guards against a watch that waits half a minute for its response whatever
// time it asked the store to wait.
TEST_CASE("a watch on a silent connection fails soon after its wait")
{
  ScriptedServer server(
    { { MakeResponse("200 OK", kRows) },
      kSilent,
      { MakeResponse("200 OK", R"({"rows":[],"ver":531})") } });
  const auto store = *RowStore::Make(server.Url());
  REQUIRE(store->Read().has_value());
  const core::TimePoint begin = core::Clock::now();
  const auto silent = store->WaitForChange(530, std::chrono::milliseconds(200));
  CHECK(core::Clock::now() - begin < kMaxSilence);
  REQUIRE(!silent.has_value());
  CHECK(silent.error().mKind == core::ErrorKind::StoreUnavailable);
  // The next one uses a new connection.
  CHECK(store->WaitForChange(530, std::chrono::milliseconds(200)) ==
        routes::StoredRoutes{ "", 531 });
}

// Guards against a new configuration that no node puts in force while the
// connections to the store that were open are silent and new ones work.
TEST_CASE("a change reaches the first node on a silent connection in time")
{
  ScriptedServer server({ { MakeResponse("200 OK", RowsOf("MQ==", 10)) },
                          kSilent,
                          { MakeResponse("200 OK", RowsOf("Mg==", 11)) } });
  routes::ActiveRoutes active;
  routes::RouteSync sync(
    *RowStore::Make(server.Url()),
    DecodeNumber,
    active,
    { [](const core::Address&, const routes::RouteSync::PullCallback&) {},
      [](const std::string&) {} },
    { std::chrono::seconds(2) });
  const core::TimePoint begin = core::Clock::now();
  sync.Start();
  while (active.Version() < 2 && core::Clock::now() - begin < kMaxSilence) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(active.Version() == 2);
}

// Guards against a watch that never gets past a value which cannot be read, and
// against taking a row that is present for a deleted one.
TEST_CASE("a value that cannot be read does not hide the next one")
{
  const std::string bad =
    R"({"key":"config","part":"","value":"{\"version\":\"r9\"}","ver":11})";
  const std::string good =
    R"({"key":"config","part":"","value":"Mg==","deleted":false,"ver":12})";
  ScriptedServer server(
    { { MakeResponse("200 OK", R"({"rows":[)" + bad + R"(],"ver":11})") },
      { MakeResponse("200 OK",
                     R"({"rows":[)" + bad + "," + good + R"(],"ver":12})") },
      { MakeResponse("200 OK",
                     R"({"rows":[{"key":"config","part":"","deleted":true,)"
                     R"("ver":13}],"ver":13})") } });
  const auto store = *RowStore::Make(server.Url());
  CHECK(store->Read() == routes::StoredRoutes{ "", 11 });
  CHECK(store->WaitForChange(11, std::chrono::milliseconds(10)) ==
        routes::StoredRoutes{ "2", 12 });
  CHECK(store->WaitForChange(12, std::chrono::milliseconds(10)) ==
        routes::StoredRoutes{ "", 13 });
}

// Guards against one response of the store, or one document in it, ending the
// process: the library's exception for an invalid surrogate pair reached the
// thread that reads the store.
TEST_CASE("a response with an invalid surrogate pair is a failed read")
{
  const std::string invalid = R"({"version":"\ud800\u0041","tenants":[]})";
  const std::string base64 = utility::conversions::to_base64(
    std::vector<unsigned char>(invalid.begin(), invalid.end()));
  ScriptedServer server(
    { { MakeResponse("200 OK", RowsOf("Nw==", 10)) },
      { MakeResponse("200 OK", RowsOf(base64, 11)) },
      { MakeResponse("200 OK",
                     R"({"rows":[{"key":"\ud800\u0041"}],"ver":12})") },
      { MakeResponse("200 OK", RowsOf("OA==", 13)) } });
  const auto store = *RowStore::Make(server.Url());
  CHECK(store->Read() == routes::StoredRoutes{ "7", 10 });
  core::Expected<routes::StoredRoutes> stored;
  CHECK_NOTHROW(stored =
                  store->WaitForChange(10, std::chrono::milliseconds(10)));
  CHECK(stored == routes::StoredRoutes{ invalid, 11 });
  CHECK_NOTHROW(stored =
                  store->WaitForChange(11, std::chrono::milliseconds(10)));
  REQUIRE(!stored.has_value());
  CHECK(stored.error().mKind == core::ErrorKind::StoreUnavailable);
  CHECK(store->Read() == routes::StoredRoutes{ "8", 13 });
}

// Guards against keys of tenants that reach other nodes with the document.
TEST_CASE("the store's document is handed on without keys")
{
  const std::string document =
    R"({"version":"r5","tenants":[{"name":"acme","apiKeys":["s3cret"]}]})";
  const std::string base64 = utility::conversions::to_base64(
    std::vector<unsigned char>(document.begin(), document.end()));
  ScriptedServer server({ { MakeResponse("200 OK", RowsOf(base64, 10)) },
                          { MakeResponse("200 OK", RowsOf(base64, 11)) } });
  const auto store = *RowStore::Make(server.Url());
  for (const auto& stored :
       { store->Read(),
         store->WaitForChange(10, std::chrono::milliseconds(10)) }) {
    REQUIRE(stored.has_value());
    CHECK(stored->mDocument.find("acme") != std::string::npos);
    CHECK(stored->mDocument.find(core::Sha256Hex("s3cret")) !=
          std::string::npos);
    CHECK(stored->mDocument.find("s3cret") == std::string::npos);
  }
}

// Guards against a node that goes on with a store that has moved.
TEST_CASE("calls go to the new address of the store")
{
  ScriptedServer before({ { MakeResponse("200 OK", RowsOf("MQ==", 10)) } });
  ScriptedServer after({ { MakeResponse("200 OK", RowsOf("Mg==", 4)) },
                         { MakeResponse("200 OK", R"({"ver":5})") } });
  const auto store = *RowStore::Make(before.Url());
  CHECK(store->Read() == routes::StoredRoutes{ "1", 10 });
  CHECK(!store->SetUrl("nonsense").has_value());
  CHECK(store->SetUrl(after.Url()).has_value());
  CHECK(store->Read() == routes::StoredRoutes{ "2", 4 });
  CHECK(store->Remove("nodes/r/1").has_value());
}
