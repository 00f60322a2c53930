#include "admin/ProfileRoutes.h"
#include "tests/profiles/Documents.h"
#include "tests/store/FakePlatform.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::admin;
using namespace nutmegrock::tests;

namespace {

/// The routes with an in-memory store.
struct Fixture
{
  Fixture()
    : mTable("/v1",
             ProfileRoutes::Make({ mStore,
                                   mStore,
                                   mActiveProfiles,
                                   [this](const profiles::PublishedSet& aSet) {
                                     mActiveProfiles.Activate(aSet);
                                   },
                                   [](unsigned) {} }))
  {
  }

  AdminResponse Serve(const std::string& aMethod,
                      const std::string& aPath,
                      const AdminRequest::Values& aQuery = {},
                      const std::string& aBody = {},
                      const std::string& aIfMatch = {}) const
  {
    return mTable.Serve(
      { aMethod, aPath, {}, aQuery, { { "if-match", aIfMatch } }, aBody });
  }
  AdminResponse Publish(std::uint64_t aExpected,
                        const std::string& aDocument,
                        const std::string& aPublication) const
  {
    return Serve("PUT",
                 "/v1/profiles",
                 { { "author", "Ilze" }, { "publication", aPublication } },
                 aDocument,
                 "\"" + std::to_string(aExpected) + "\"");
  }

  FakePlatform mStore;
  profiles::ActiveProfiles mActiveProfiles;
  RouteTable mTable;
};

web::json::value
BodyOf(const AdminResponse& aResponse)
{
  return web::json::value::parse(aResponse.mBody);
}

} // namespace

TEST_SUITE("admin/ProfileRoutes")
{
  TEST_CASE("publish, read, list and compare")
  {
    const Fixture fixture;
    CHECK(fixture.Serve("GET", "/v1/profiles").mStatus == 503);
    CHECK(fixture.Serve("GET", "/v1/profiles/current").mStatus == 404);
    const AdminResponse first = fixture.Publish(0, DocumentOf(1000), "a");
    CHECK(first.mStatus == 200);
    CHECK(first.mHeaders.at("ETag") == "\"1\"");
    CHECK(fixture.Publish(1, DocumentOf(2000), "b").mStatus == 200);
    // A publication is in force on this node immediately.
    CHECK(fixture.mActiveProfiles.Version() == 2);
    for (const char* path : { "/v1/profiles",
                              "/v1/profiles/current",
                              "/v1/profiles/versions/2" }) {
      CAPTURE(path);
      const AdminResponse response = fixture.Serve("GET", path);
      CHECK(response.mStatus == 200);
      CHECK(response.mHeaders.at("ETag") == "\"2\"");
      const auto body = BodyOf(response);
      CHECK(body.at("version").as_integer() == 2);
      CHECK(body.at("author").as_string() == "Ilze");
      CHECK(body.at("document").as_string() == DocumentOf(2000));
      CHECK(body.at("profiles").at("deposit").at("timeout_ms").as_integer() ==
            2000);
      CHECK(body.at("services").at("till").at("default").as_string() ==
            "deposit");
    }
    const auto history = BodyOf(fixture.Serve("GET", "/v1/profiles/versions"));
    CHECK(history.at("versions").size() == 2);
    CHECK(history.at("versions").at(0).at("publication").as_string() == "b");
    const std::string changes =
      R"([{"after":"2000","before":"1000","path":"profiles.deposit.timeout_ms"}])";
    CHECK(BodyOf(fixture.Serve("GET",
                               "/v1/profiles/diff",
                               { { "from", "1" }, { "to", "2" } }))
            .at("changes")
            .serialize() == changes);
    CHECK(BodyOf(fixture.Serve("POST",
                               "/v1/profiles/diff",
                               { { "from", "1" } },
                               DocumentOf(2000)))
            .at("changes")
            .serialize() == changes);
  }

  TEST_CASE("checking a document publishes nothing")
  {
    const Fixture fixture;
    const auto valid =
      BodyOf(fixture.Serve("POST", "/v1/profiles/check", {}, DocumentOf(1000)));
    CHECK(valid.at("valid").as_bool());
    const auto invalid =
      BodyOf(fixture.Serve("POST", "/v1/profiles/check", {}, "profiles: {}\n"));
    CHECK(!invalid.at("valid").as_bool());
    CHECK(invalid.at("faults").size() == 2);
    CHECK(invalid.at("faults").at(0).at("key").as_string() == "profiles");
    CHECK(fixture.Serve("GET", "/v1/profiles/current").mStatus == 404);
  }

  // Guards against an error response whose shape, status or kind is not in the
  // closed list.
  TEST_CASE("error responses")
  {
    struct Case
    {
      const char* mName;
      std::function<AdminResponse(Fixture&)> mRequest;
      unsigned mStatus;
      const char* mError;
      /// Keys of the details.
      std::string mDetails = {};
    };
    const std::vector<Case> cases = {
      { "unknown path",
        [](Fixture& aFixture) { return aFixture.Serve("GET", "/v1/x"); },
        404,
        "not_found" },
      { "unknown version of the API",
        [](Fixture& aFixture) { return aFixture.Serve("GET", "/v2/profiles"); },
        404,
        "not_found" },
      { "unknown method",
        [](Fixture& aFixture) {
          return aFixture.Serve("DELETE", "/v1/profiles");
        },
        404,
        "not_found" },
      { "bad encoding",
        [](Fixture& aFixture) {
          return aFixture.Serve("GET", "/v1/profiles/versions/%zz");
        },
        400,
        "bad_request" },
      { "version not a number",
        [](Fixture& aFixture) {
          return aFixture.Serve("GET", "/v1/profiles/versions/1x");
        },
        400,
        "bad_request" },
      { "version not there",
        [](Fixture& aFixture) {
          return aFixture.Serve("GET", "/v1/profiles/versions/9");
        },
        404,
        "not_found" },
      { "too much history",
        [](Fixture& aFixture) {
          return aFixture.Serve(
            "GET", "/v1/profiles/versions", { { "limit", "201" } });
        },
        400,
        "bad_request" },
      { "difference without versions",
        [](Fixture& aFixture) {
          return aFixture.Serve("GET", "/v1/profiles/diff");
        },
        400,
        "bad_request" },
      { "no If-Match",
        [](Fixture& aFixture) {
          return aFixture.Serve("PUT", "/v1/profiles", {}, DocumentOf(1));
        },
        400,
        "bad_request" },
      { "If-Match without quotes",
        [](Fixture& aFixture) {
          return aFixture.Serve("PUT", "/v1/profiles", {}, DocumentOf(1), "1");
        },
        400,
        "bad_request" },
      { "no publication id",
        [](Fixture& aFixture) {
          return aFixture.Publish(1, DocumentOf(1), "");
        },
        400,
        "bad_request" },
      { "faults",
        [](Fixture& aFixture) { return aFixture.Publish(1, "x: 1", "b"); },
        400,
        "invalid_profiles",
        "faults" },
      { "conflict",
        [](Fixture& aFixture) {
          return aFixture.Publish(0, DocumentOf(1), "b");
        },
        409,
        "version_conflict",
        "author time version" },
      { "store down",
        [](Fixture& aFixture) {
          aFixture.mStore.State().SetFaults({ .mDown = true });
          return aFixture.Publish(1, DocumentOf(1), "b");
        },
        503,
        "store_unavailable" },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mName);
      Fixture fixture;
      REQUIRE(fixture.Publish(0, DocumentOf(1000), "a").mStatus == 200);
      const AdminResponse response = entry.mRequest(fixture);
      CHECK(response.mStatus == entry.mStatus);
      const auto body = BodyOf(response);
      CHECK(body.at("error").as_string() == entry.mError);
      CHECK(!body.at("message").as_string().empty());
      std::string details;
      for (const auto& [key, value] : body.at("details").as_object()) {
        details += (details.empty() ? "" : " ") + key;
      }
      CHECK(details == entry.mDetails);
      CHECK(fixture.mActiveProfiles.Version() == 1);
    }
  }

  // Guards against another response when the same publication is repeated.
  TEST_CASE("a repeated publication gets the same response as the first")
  {
    const Fixture fixture;
    const AdminResponse first = fixture.Publish(0, DocumentOf(1000), "a");
    const AdminResponse second = fixture.Publish(0, DocumentOf(1000), "a");
    CHECK(second.mStatus == 200);
    CHECK(second.mBody == first.mBody);
  }
}
