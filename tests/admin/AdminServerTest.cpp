#include "admin/AdminServer.h"
#include "store/http/HttpTableService.h"
#include "tests/store/StandInPlatform.h"

#include <boost/asio/write.hpp>
#include <cpprest/http_client.h>
#include <doctest/doctest.h>
#include <latch>

using namespace nutmegrock;
using namespace nutmegrock::admin;
using namespace nutmegrock::tests;

namespace {

/// A server on a free port, and a client for it.
struct Fixture
{
  explicit Fixture(const std::vector<AdminRoute>& aRoutes,
                   AdminServer::Settings aSettings = {})
  {
    for (int i = 0; i < 20 && !mServer; ++i) {
      mAddress = FreeAddress();
      aSettings.mListen = mAddress;
      auto server = AdminServer::Open(aSettings, aRoutes);
      if (server) {
        mServer = std::move(*server);
      }
    }
    REQUIRE(mServer != nullptr);
  }

  /// Sends a request and returns a task with the status and body.
  auto Send(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aBody = {}) const
  {
    web::http::client::http_client client("http://" + mAddress.ToString());
    web::http::http_request request(aMethod);
    request.set_request_uri(web::uri(aPath));
    request.headers().add("X-Mixed-Case", "yes");
    request.set_body(aBody);
    return client.request(request).then(
      [](const web::http::http_response& aResponse) {
        return aResponse.extract_string(true).then(
          [aResponse](const std::string& aText) {
            return std::pair<unsigned, std::string>(aResponse.status_code(),
                                                    aText);
          });
      });
  }

  core::Address mAddress;
  std::unique_ptr<AdminServer> mServer;
};

std::string
ErrorOf(const std::string& aBody)
{
  return web::json::value::parse(aBody).at("error").as_string();
}

} // namespace

TEST_SUITE("admin/AdminServer")
{
  TEST_CASE("a handler receives the request and its response is sent")
  {
    const Fixture fixture(
      { { "POST", "/things/{name}/x", [](const AdminRequest& aRequest) {
           AdminResponse response = AdminResponse::Text(
             AdminRequest::ValueOf(aRequest.mVariables, "name") + "|" +
               AdminRequest::ValueOf(aRequest.mQuery, "q") + "|" +
               AdminRequest::ValueOf(aRequest.mHeaders, "x-mixed-case") + "|" +
               aRequest.mBody,
             "text/plain");
           response.mStatus = 201;
           return response;
         } } });
    const auto [status, body] =
      fixture.Send("POST", "/v1/things/a%2Fb%C4%81/x?q=1%262", "body").get();
    CHECK(status == 201);
    CHECK(body == "a/bā|1&2|yes|body");
  }

  TEST_CASE("errors of the server itself")
  {
    const Fixture fixture({ { "GET",
                              "/throws",
                              [](const AdminRequest&) -> AdminResponse {
                                throw std::runtime_error("x");
                              } },
                            { "PUT",
                              "/body",
                              [](const AdminRequest&) {
                                return AdminResponse::Text("", "text/plain");
                              } } },
                          { .mMaxBody = 10 });
    struct Case
    {
      std::string mMethod;
      std::string mPath;
      std::string mBody;
      unsigned mStatus;
      std::string mError;
    };
    const std::vector<Case> cases = {
      { "GET", "/v1/throws", "", 500, "internal" },
      { "GET", "/throws", "", 404, "not_found" },
      { "GET", "/", "", 404, "not_found" },
      { "PUT", "/v1/body", "0123456789", 200, "" },
      { "PUT", "/v1/body", "0123456789x", 413, "body_too_large" },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mPath);
      const auto [status, body] =
        fixture.Send(entry.mMethod, entry.mPath, entry.mBody).get();
      CHECK(status == entry.mStatus);
      if (!entry.mError.empty()) {
        CHECK(ErrorOf(body) == entry.mError);
      }
    }
  }

  // Guards against handlers on the threads of the cpprestsdk pool: if as many
  // handlers as the pool has threads waited for the store, no response of the
  // store would be read.
  TEST_CASE("handlers that wait for the store do not block its responses")
  {
    StandInPlatform platform;
    const auto table = store::http::HttpTableService::Make(
      { .mUrl = platform.Url(), .mTimeout = std::chrono::seconds(60) });
    constexpr int kRequests = 16;
    std::latch started(kRequests);
    const Fixture fixture({ { "GET",
                              "/row",
                              [&](const AdminRequest&) {
                                started.count_down();
                                started.wait();
                                return AdminResponse::Text(
                                  (*table)->Read("k") ? "read" : "failed",
                                  "text/plain");
                              } } },
                          { .mWorkers = kRequests });
    std::vector<pplx::task<std::pair<unsigned, std::string>>> tasks;
    tasks.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      tasks.push_back(fixture.Send("GET", "/v1/row"));
    }
    for (const auto& task : tasks) {
      CHECK(task.get().second == "read");
    }
  }

  // Guards against an unbounded queue, and against a shutdown that drops
  // accepted requests.
  TEST_CASE("the request queue is bounded and processed at shutdown")
  {
    std::latch entered(1);
    std::latch release(1);
    auto fixture = std::make_unique<Fixture>(
      std::vector<AdminRoute>{ { "GET",
                                 "/slow",
                                 [&](const AdminRequest&) {
                                   if (!entered.try_wait()) {
                                     entered.count_down();
                                   }
                                   release.wait();
                                   return AdminResponse::Text("done",
                                                              "text/plain");
                                 } } },
      AdminServer::Settings{ .mWorkers = 1, .mMaxWaiting = 1 });
    const auto first = fixture->Send("GET", "/v1/slow");
    entered.wait();
    // One of these two waits, the other is rejected.
    const auto second = fixture->Send("GET", "/v1/slow");
    const auto third = fixture->Send("GET", "/v1/slow");
    const auto refused = (second || third).get();
    CHECK(refused.first == 503);
    CHECK(ErrorOf(refused.second) == "queue_full");
    release.count_down();
    CHECK(first.get().second == "done");
    fixture.reset();
    CHECK((second.get().second == "done") != (third.get().second == "done"));
  }

  // Guards against a client that stalls in its body and delays shutdown.
  TEST_CASE("a stalled client does not hold up shutdown")
  {
    auto fixture = std::make_unique<Fixture>(std::vector<AdminRoute>{});
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), fixture->mAddress.mPort });
    const std::string start =
      "PUT /v1/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc";
    boost::asio::write(socket, boost::asio::buffer(start));
    CHECK(fixture->Send("GET", "/v1/x").get().first == 404);
    fixture.reset();
  }

  TEST_CASE("an address in use is an error")
  {
    const Fixture fixture({});
    AdminServer::Settings settings;
    settings.mListen = fixture.mAddress;
    const auto second = AdminServer::Open(settings, {});
    REQUIRE(!second);
    CHECK(second.error().mKind == core::ErrorKind::InvalidSettings);
  }
}
