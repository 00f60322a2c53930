#include "store/http/HttpObjectStore.h"
#include "store/http/HttpTableService.h"
#include "tests/store/ScriptedServer.h"
#include "tests/store/StandInPlatform.h"

#include <cpprest/http_client.h>
#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::tests;
using core::ErrorKind;
using store::http::HttpObjectStore;
using store::http::HttpTableService;

namespace {

std::string
ResponseOf(const std::string& aStatus,
           const std::string& aHeaders,
           const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" +
         aHeaders + "\r\n" + aBody;
}

} // namespace

TEST_SUITE("store/http")
{
  // Guards against accepting an incomplete response, a response without a
  // version, or a response that is not from the platform.
  TEST_CASE("an unusable response is StoreUnavailable")
  {
    const std::string row = ResponseOf("200 OK", "ETag: \"7\"\r\n", "value");
    struct Case
    {
      const char* mName;
      std::string mResponse;
      bool mUsable = false;
    };
    const std::vector<Case> cases = {
      { "whole", row, true },
      { "cut off in the body", row.substr(0, row.size() - 2) },
      { "cut off in the header", row.substr(0, 20) },
      { "empty", "" },
      { "not HTTP", "SSH-2.0-x\r\n\r\n" },
      { "no version", ResponseOf("200 OK", "", "value") },
      { "version 0", ResponseOf("200 OK", "ETag: \"0\"\r\n", "value") },
      { "weak version", ResponseOf("200 OK", "ETag: W/\"7\"\r\n", "value") },
      { "server error", ResponseOf("500 Error", "ETag: \"7\"\r\n", "value") },
      { "redirect", ResponseOf("302 Found", "Location: /x\r\n", "") },
      { "status 000", ResponseOf("000 OK", "ETag: \"7\"\r\n", "value") },
      { "status 999", ResponseOf("999 OK", "ETag: \"7\"\r\n", "value") },
      { "header name with a space",
        ResponseOf("200 OK", "ETag: \"7\"\r\nX A: 1\r\n", "value") },
      { "unknown coding",
        ResponseOf(
          "200 OK", "ETag: \"7\"\r\nTransfer-Encoding: gzip\r\n", "value") },
      { "unknown coding and chunks",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: gzip, chunked"
        "\r\n\r\n5\r\nvalue\r\n0\r\n\r\n" },
      { "chunks beside a length",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n"
        "Content-Length: 5\r\n\r\n5\r\nvalue\r\n0\r\n\r\n" },
      { "several lengths",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 5\r\n"
        "Content-Length: 9\r\n\r\nvalue" },
      { "chunks",
        "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nTransfer-Encoding: chunked\r\n"
        "\r\n5\r\nvalue\r\n0\r\n\r\n",
        true },
      { "too long", ResponseOf("200 OK", "ETag: \"7\"\r\n", "0123456789x") },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mName);
      const ScriptedServer server({ { entry.mResponse, true } });
      const auto table =
        HttpTableService::Make({ .mUrl = server.Url(),
                                 .mTimeout = std::chrono::seconds(20),
                                 .mMaxResponse = 10 });
      const auto read = (*table)->Read("k");
      CHECK(read.has_value() == entry.mUsable);
      if (!read) {
        CHECK(read.error().mKind == ErrorKind::StoreUnavailable);
      }
    }
  }

  TEST_CASE("an unusable list is StoreUnavailable")
  {
    for (const char* body : { "", "{}", "[1]", "[{\"key\":\"k\"}]", "nope" }) {
      CAPTURE(body);
      const ScriptedServer server({ { ResponseOf("200 OK", "", body), true } });
      const auto table = HttpTableService::Make({ .mUrl = server.Url() });
      CHECK((*table)->Scan("", "", 1).error().mKind ==
            ErrorKind::StoreUnavailable);
    }
  }

  // Guards against cpprestsdk resending a write on a new connection when the
  // server closed a reused one: the first copy may have taken effect, and the
  // second would then return a false conflict.
  TEST_CASE("a write whose connection is closed is sent once")
  {
    const ScriptedServer server({
      { ResponseOf("200 OK", "ETag: \"7\"\r\n", "value") },
      { "", true },
      { ResponseOf("412 Precondition Failed", "", "") },
    });
    const auto table = HttpTableService::Make({ .mUrl = server.Url() });
    REQUIRE((*table)->Read("k"));
    const auto written = (*table)->Write("k", "new", 7);
    REQUIRE(!written);
    CHECK(written.error().mKind == ErrorKind::StoreUnavailable);
    CHECK(server.Methods() == std::vector<std::string>{ "GET", "PUT" });
  }

  TEST_CASE("a refused connection is StoreUnavailable")
  {
    const std::string url = "http://" + FreeAddress().ToString();
    const auto table = HttpTableService::Make({ .mUrl = url });
    const auto objects = HttpObjectStore::Make({ .mUrl = url });
    CHECK((*table)->Read("k").error().mKind == ErrorKind::StoreUnavailable);
    CHECK((*objects)->Put("k", "v").error().mKind ==
          ErrorKind::StoreUnavailable);
  }

  TEST_CASE("a URL that is not HTTP is refused")
  {
    for (const char* url : { "",
                             "ftp://127.0.0.1:1",
                             "127.0.0.1",
                             "http://",
                             "http://127.0.0.1:x" }) {
      CAPTURE(url);
      const auto table = HttpTableService::Make({ .mUrl = url });
      REQUIRE(!table);
      CHECK(table.error().mKind == ErrorKind::InvalidSettings);
    }
  }

  TEST_CASE("fault switches and counts over HTTP")
  {
    StandInPlatform server;
    web::http::client::http_client client(server.Url());
    const auto post = [&client](const std::string& aBody) {
      return client.request("POST", "/faults", aBody, "application/json")
        .get()
        .status_code();
    };
    const auto table = HttpTableService::Make({ .mUrl = server.Url() });
    REQUIRE((*table)->Write("k", "v", 0));
    REQUIRE((*table)->Read("k"));
    CHECK(post(R"({"down":true,"stale_reads":true})") == 200);
    CHECK(!(*table)->Read("k"));
    // A switch that is not mentioned keeps its state.
    CHECK(post(R"({"down":false,"delay_ms":1})") == 200);
    CHECK((*table)->Read("k").value() == std::nullopt);
    CHECK(post(R"({"stale_reads":0})") == 200);
    CHECK((*table)->Read("k").value()->mValue == "v");
    CHECK(post("{") == 400);
    const auto counts =
      client.request("GET", "/counts").get().extract_json().get();
    CHECK(counts.at("reads").as_integer() == 3);
    CHECK(counts.at("writes").as_integer() == 1);
  }
}
