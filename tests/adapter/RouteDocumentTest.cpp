#include "platform/RouteDocument.h"

#include <doctest/doctest.h>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::platform;

namespace {

const std::string kDocument =
  R"({"version":"r7","services":[{"name":"a","healthPath":"/health",)"
  R"("maxConnections":988,"protocol":"h1","tls":false},{"name":"b"}],)"
  R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
  R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"hosts":[{"host":"x.example",)"
  R"("paths":[{"name":"r-1","pathPrefix":"/p/","kind":"unsafe","timeoutMs":800,)"
  R"("targetLatencyMs":1500,"priority":0,"service":"a","maxAttempts":2}]},)"
  R"({"host":"y.example","paths":[{"name":"r-2","pathPrefix":"/q/",)"
  R"("kind":"safe","timeoutMs":5000,"priority":2,"split":[)"
  R"({"service":"a","weight":90},{"service":"b","weight":10},)"
  R"({"service":"b","weight":0}],"maxAttempts":1}]}]})";

std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kDocument;
  const auto at = text.find(aFrom);
  REQUIRE(at != std::string::npos);
  return text.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_CASE("all fields of an operator's document are read")
{
  const auto source = DecodeRouteDocument(kDocument);
  REQUIRE(source.has_value());
  CHECK(source->mVersion == 7);
  CHECK(source->mLimits.mIdleTimeout == std::chrono::seconds(15));
  REQUIRE(source->mRoutes.size() == 2);
  const routes::Route& first = source->mRoutes[0];
  CHECK(first.mKind == routes::RouteKind::NonIdempotent);
  CHECK(first.mTimeout == std::chrono::milliseconds(800));
  CHECK(first.mLatencyObjective == std::chrono::milliseconds(1500));
  CHECK(first.mTargets == std::vector<routes::RouteTarget>{ { "a", 1 } });
  const routes::Route& second = source->mRoutes[1];
  CHECK(second.IsIdempotent());
  CHECK(second.mLatencyObjective == second.mTimeout);
  CHECK(second.mTargets ==
        std::vector<routes::RouteTarget>{ { "a", 90 }, { "b", 10 } });
  CHECK(source->mServices[0].mHealthPath == "/health");
  CHECK(routes::RouteSet::Create(*source).has_value());
}

TEST_CASE("an invalid document is refused with the invalid field")
{
  struct Case
  {
    std::string mText;
    const char* mPlace;
  };
  const Case cases[] = {
    { "", "JSON" },
    { "[]", "JSON" },
    { kDocument.substr(0, 200), "JSON" },
    { Replaced("\"r7\"", "7"), "version" },
    { Replaced("\"r7\"", "\"v7\""), "version" },
    { Replaced("\"r7\"", "\"r7x\""), "version" },
    { Replaced("\"hosts\"", "\"host\""), "hosts" },
    { Replaced("\"paths\"", "\"path\""), "paths" },
    { Replaced("\"name\":\"b\"", "\"name\":7"), "services" },
  };
  for (const Case& wrong : cases) {
    CAPTURE(wrong.mPlace);
    const auto source = DecodeRouteDocument(wrong.mText);
    REQUIRE(!source.has_value());
    CHECK(source.error().mKind == core::ErrorKind::InvalidProfiles);
    CHECK(source.error().mMessage.find(wrong.mPlace) != std::string::npos);
  }
}

// Guards against one document of the operator ending all nodes: the library's
// exception for an invalid surrogate pair reached the threads that read it.
TEST_CASE("a document with an invalid surrogate pair is refused")
{
  for (const char* place :
       { "r-1", "x.example", "/health", "/p/", "maxBodyBytes" }) {
    CAPTURE(place);
    const std::string text = Replaced(place, R"(\ud800\u0041)");
    core::Expected<routes::RouteSetSource> source = routes::RouteSetSource{};
    CHECK_NOTHROW(source = DecodeRouteDocument(text));
    REQUIRE(!source.has_value());
    CHECK(source.error().mKind == core::ErrorKind::InvalidProfiles);
  }
}

// Guards against one route that takes all the others out of force, against a
// request of that route that is told that nothing is there, and against one
// that runs on the route of a shorter prefix.
TEST_CASE("a route that cannot be read is skipped alone, with its reason")
{
  struct Case
  {
    std::string mText;
    const char* mReason;
    const char* mPrefix;
  };
  const Case cases[] = {
    { Replaced("\"name\":\"r-1\",", ""), "name", "/p/" },
    { Replaced("\"pathPrefix\":\"/p/\",", ""), "pathPrefix", "" },
    { Replaced("\"/p/\"", "\"/p\""), "must begin and end", "/p/" },
    { Replaced("\"kind\":\"unsafe\"", "\"kind\":7"), "kind", "/p/" },
    { Replaced("\"kind\":\"unsafe\",", ""), "kind", "/p/" },
    { Replaced("\"timeoutMs\":800", "\"timeoutMs\":\"800\""),
      "timeoutMs",
      "/p/" },
    { Replaced("\"timeoutMs\":800", "\"timeoutMs\":-800"), "timeoutMs", "/p/" },
    { Replaced("\"timeoutMs\":800", "\"timeoutMs\":0"), "time limit", "/p/" },
    { Replaced("\"service\":\"a\",\"maxAttempts\"", "\"maxAttempts\""),
      "service",
      "/p/" },
    { Replaced("\"service\":\"a\",\"max", "\"service\":\"x\",\"max"),
      "not described",
      "/p/" },
    { Replaced("\"maxAttempts\":2", "\"maxAttempts\":0"), "attempt", "/p/" },
    { Replaced("\"kind\":\"unsafe\"",
               "\"kind\":\"unsafe\",\"anonymous\":\"yes\""),
      "anonymous",
      "/p/" },
    { Replaced("{\"name\":\"r-1\"", "7,{\"name\":\"r-1\""), "name", "" },
  };
  for (const Case& wrong : cases) {
    CAPTURE(wrong.mText);
    auto source = DecodeRouteDocument(wrong.mText);
    REQUIRE(source.has_value());
    REQUIRE(source->mSkippedRoutes.size() == 1);
    const routes::SkippedRoute& skipped = source->mSkippedRoutes[0];
    CHECK(skipped.mHost == "x.example");
    CHECK(skipped.mPathPrefix == wrong.mPrefix);
    CHECK(skipped.mReason.find(wrong.mReason) != std::string::npos);
    const auto set = routes::RouteSet::Create(std::move(*source));
    REQUIRE(set.has_value());
    CHECK((*set)->Find("y.example", "/q/1") != nullptr);
    const bool found = (*set)->Find("x.example", "/p/1") != nullptr;
    // The last case has the route as well.
    CHECK(found == (wrong.mText.find("7,{") != std::string::npos));
    CHECK((*set)->IsSkipped("X.example:80", "/p/1?a=/q/") ==
          (*wrong.mPrefix != 0));
  }
  const auto split =
    DecodeRouteDocument(Replaced("\"weight\":90", "\"weight\":null"));
  REQUIRE(split.has_value());
  REQUIRE(split->mSkippedRoutes.size() == 1);
  CHECK(split->mSkippedRoutes[0].mPathPrefix == "/q/");
  CHECK(split->mRoutes.size() == 1);
}

TEST_CASE("the second route of a host and prefix is skipped")
{
  std::string text = Replaced("\"y.example\"", "\"X.example:80\"");
  text.replace(text.find("/q/"), 3, "/p/");
  auto source = DecodeRouteDocument(text);
  REQUIRE(source.has_value());
  CHECK(source->mSkippedRoutes.size() == 1);
  const auto set = routes::RouteSet::Create(std::move(*source));
  REQUIRE(set.has_value());
  CHECK((*set)->Find("x.example", "/p/1")->mName == "r-1");
}

// Guards against requests of a kind of a later version that run twice, or that
// are not served at all.
TEST_CASE("each kind is read, and an unknown one runs at most once")
{
  const std::pair<const char*, routes::RouteKind> kinds[] = {
    { "safe", routes::RouteKind::Idempotent },
    { "unsafe", routes::RouteKind::NonIdempotent },
    { "upload", routes::RouteKind::Upload },
    { "download", routes::RouteKind::Download },
    { "odd", routes::RouteKind::NonIdempotent },
    { "", routes::RouteKind::NonIdempotent },
  };
  for (const auto& entry : kinds) {
    CAPTURE(entry.first);
    const auto source = DecodeRouteDocument(Replaced("unsafe", entry.first));
    REQUIRE(source.has_value());
    CHECK(source->mRoutes[0].mKind == entry.second);
  }
}

TEST_CASE("a route may be anonymous")
{
  for (const char* flag : { "true", "false", "null" }) {
    CAPTURE(flag);
    const auto source = DecodeRouteDocument(Replaced(
      "\"priority\":2", "\"priority\":2,\"anonymous\":" + std::string(flag)));
    REQUIRE(source.has_value());
    CHECK(source->mRoutes[1].mAnonymous == (std::string(flag) == "true"));
    CHECK(!source->mRoutes[0].mAnonymous);
  }
}

// Guards against a document that all nodes refuse, and no version of which is
// in force any more, because a number is written in another notation.
TEST_CASE("numbers are read in any notation")
{
  for (const char* number : { "5000", "5000.0", "5e3", "5.0E+3" }) {
    CAPTURE(number);
    const auto source = DecodeRouteDocument(
      Replaced("\"timeoutMs\":5000", "\"timeoutMs\":" + std::string(number)));
    REQUIRE(source.has_value());
    CHECK(source->mRoutes[1].mTimeout == std::chrono::milliseconds(5000));
  }
  const auto source =
    DecodeRouteDocument(Replaced("\"priority\":2", "\"priority\":2.0"));
  REQUIRE(source.has_value());
  CHECK(source->mRoutes[1].mPriority == 2);
}

// Guards against refusing a split with weights that are fractions, and against
// a cycle of billions of steps.
TEST_CASE("weights are fractions or of any size")
{
  using Targets = std::vector<routes::RouteTarget>;
  struct Case
  {
    const char* mFirst;
    const char* mSecond;
    Targets mTargets;
  };
  const Case cases[] = {
    { "0.9", "0.1", { { "a", 9'000 }, { "b", 1'000 } } },
    { "90.0", "10.0", { { "a", 90 }, { "b", 10 } } },
    { "3000000000", "1000000000", { { "a", 7'500 }, { "b", 2'500 } } },
    { "1e300", "1", { { "a", 10'000 }, { "b", 1 } } },
    { "0", "0.5", { { "b", 10'000 } } },
  };
  for (const Case& expected : cases) {
    CAPTURE(expected.mFirst);
    const std::string first = std::string("\"weight\":") + expected.mFirst;
    const std::string second = std::string("\"weight\":") + expected.mSecond;
    std::string text = Replaced("\"weight\":90", first);
    text.replace(text.find("\"weight\":10}"), 11, second);
    const auto source = DecodeRouteDocument(text);
    REQUIRE(source.has_value());
    CHECK(source->mRoutes[1].mTargets == expected.mTargets);
    CHECK(routes::RouteSet::Create(*source).has_value());
  }
  for (const char* weight : { "-1", "-0.5", "\"90\"", "1e999" }) {
    CAPTURE(weight);
    const auto source = DecodeRouteDocument(
      Replaced("\"weight\":90", "\"weight\":" + std::string(weight)));
    CHECK((!source.has_value() || source->mSkippedRoutes.size() == 1));
  }
}

// Guards against refusing a document for an optional field without a value.
TEST_CASE("optional fields may be missing, null or unknown")
{
  const std::pair<const char*, const char*> changes[] = {
    { "\"targetLatencyMs\":1500", "\"targetLatencyMs\":null" },
    { "\"priority\":0,", "" },
    { "\"split\"", "\"service\":null,\"split\"" },
    { "\"split\"", "\"service\":\"\",\"split\"" },
    { "\"service\":\"a\",\"max", "\"service\":\"a\",\"split\":null,\"max" },
    { "\"limits\"", "\"limits\":null,\"other\"" },
    { "\"healthPath\":\"/health\",", "" },
    { "\"kind\":\"safe\"", "\"kind\":\"safe\",\"new\":{\"a\":[1]}" },
    { "\"r7\"", "\"r007\"" },
  };
  for (const auto& change : changes) {
    CAPTURE(change.second);
    auto source = DecodeRouteDocument(Replaced(change.first, change.second));
    REQUIRE(source.has_value());
    CHECK(source->mVersion == 7);
    CHECK(source->mRoutes[1].mTargets.size() == 2);
    CHECK(routes::RouteSet::Create(std::move(*source)).has_value());
  }
}

// Guards against refusing a document in which two hosts have a route of the
// same name.
TEST_CASE("routes of different hosts may have the same name")
{
  auto source =
    DecodeRouteDocument(Replaced("\"name\":\"r-2\"", "\"name\":\"r-1\""));
  REQUIRE(source.has_value());
  const auto set = routes::RouteSet::Create(std::move(*source));
  REQUIRE(set.has_value());
  const routes::Route* first = (*set)->Find("x.example", "/p/1");
  const routes::Route* second = (*set)->Find("y.example", "/q/1");
  REQUIRE(first != nullptr);
  REQUIRE(second != nullptr);
  CHECK(first->mName == "r-1@x.example/p/");
  CHECK((*set)->FindByName(first->mName) == first);
  CHECK((*set)->FindByName(second->mName) == second);
}
