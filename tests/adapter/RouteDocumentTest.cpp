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
    { Replaced("\"unsafe\"", "\"odd\""), "kind" },
    { Replaced("\"timeoutMs\":800", "\"timeoutMs\":\"800\""), "timeoutMs" },
    { Replaced("\"timeoutMs\":800", "\"timeoutMs\":-800"), "timeoutMs" },
    { Replaced("\"service\":\"a\",\"maxAttempts\"", "\"maxAttempts\""),
      "service" },
    { Replaced("\"weight\":90", "\"weight\":null"), "service" },
    { Replaced("\"paths\"", "\"path\""), "paths" },
  };
  for (const Case& wrong : cases) {
    CAPTURE(wrong.mPlace);
    const auto source = DecodeRouteDocument(wrong.mText);
    REQUIRE(!source.has_value());
    CHECK(source.error().mKind == core::ErrorKind::InvalidProfiles);
    CHECK(source.error().mMessage.find(wrong.mPlace) != std::string::npos);
  }
}
