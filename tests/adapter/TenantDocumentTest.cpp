#include "platform/TenantDocument.h"
#include "core/Digest.h"
#include "platform/RouteDocument.h"

#include <doctest/doctest.h>
#include <spdlog/fmt/fmt.h>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::platform;

namespace {

/// A document with this member, or none if it is empty.
std::string
DocumentWith(const std::string& aTenants)
{
  return R"({"version":"r7","services":[],"hosts":[])" +
         (aTenants.empty() ? aTenants : ",\"tenants\":" + aTenants) + "}";
}

routes::RouteSetSource
Decode(const std::string& aTenants)
{
  auto source = DecodeRouteDocument(DocumentWith(aTenants));
  REQUIRE(source.has_value());
  return *source;
}

} // namespace

TEST_CASE("all fields of a tenant are read, and its keys only as digests")
{
  // The digest of "abc" in FIPS 180-2.
  const std::string abc =
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  const auto source = Decode(
    R"([{"name":"acme","apiKeys":["abc","k2"],"priority":1,"ratePerS":12.5,)"
    R"("burst":3},{"name":"rest"},{"name":"null","apiKeys":null,)"
    R"("priority":null,"ratePerS":null,"burst":null,"new":[1]}])");
  REQUIRE(source.mTenants.size() == 3);
  CHECK(source.mTenants[0] ==
        routes::Tenant{ "acme", { abc, core::Sha256Hex("k2") }, 1, 12.5, 3 });
  CHECK(source.mTenants[1] == routes::Tenant{ "rest", {}, {}, 0, 0 });
  CHECK(source.mTenants[2] == routes::Tenant{ "null", {}, {}, 0, 0 });
  CHECK(source.mNeedsKeys);
  CHECK(source.mSkippedTenants.empty());
  CHECK(routes::RouteSet::Create(source).has_value());
}

TEST_CASE("a configuration without tenants needs no keys")
{
  for (const char* tenants : { "", "[]", "null" }) {
    CAPTURE(tenants);
    CHECK(!Decode(tenants).mNeedsKeys);
    CHECK(Decode(tenants).mSkippedTenants.empty());
  }
}

// Guards against a fault in one tenant that takes the others out of force, that
// removes a limit, or that lets all requests in without a key.
TEST_CASE("a tenant that cannot be read is skipped alone")
{
  const std::string good = R"({"name":"good","apiKeys":["k"]})";
  for (const std::string wrong : {
         R"(7)",
         R"(null)",
         R"({"apiKeys":["s3cret"]})",
         R"({"name":7,"apiKeys":["s3cret"]})",
         R"({"name":"","apiKeys":["s3cret"]})",
         R"({"name":"a\r\nX: 1","apiKeys":["s3cret"]})",
         R"({"name":"good","apiKeys":["s3cret"]})",
         R"({"name":"bad","apiKeys":"s3cret"})",
         R"({"name":"bad","apiKeys":["s3cret",7]})",
         R"({"name":"bad","apiKeys":{"k":"s3cret"}})",
         R"({"name":"bad","apiKeys":["s3cret"],"priority":"high"})",
         R"({"name":"bad","apiKeys":["s3cret"],"priority":-1})",
         R"({"name":"bad","apiKeys":["s3cret"],"ratePerS":"5"})",
         R"({"name":"bad","apiKeys":["s3cret"],"burst":-5})",
         R"({"name":"bad","apiKeyDigests":["s3cret"]})",
       }) {
    CAPTURE(wrong);
    const std::string list = fmt::format("[{},{}]", good, wrong);
    // The same after the keys were replaced.
    for (const std::string& text :
         { DocumentWith(list), ReplaceKeys(DocumentWith(list)) }) {
      const auto source = DecodeRouteDocument(text);
      REQUIRE(source.has_value());
      REQUIRE(source->mTenants.size() == 1);
      CHECK(source->mTenants[0].mName == "good");
      REQUIRE(source->mSkippedTenants.size() == 1);
      CHECK(source->mSkippedTenants[0].find("s3cret") == std::string::npos);
    }
    const auto alone = Decode("[" + wrong + "]");
    CHECK(alone.mNeedsKeys);
  }
  for (const char* list : { "{}", "true", "\"s3cret\"" }) {
    CAPTURE(list);
    CHECK(Decode(list).mNeedsKeys);
    CHECK(Decode(list).mSkippedTenants.size() == 1);
  }
}

// Guards against keys in messages between nodes, also those in places where
// they do not belong.
TEST_CASE("a document without keys means the same")
{
  const std::string list =
    R"([{"name":"acme","apiKeys":["s3cret","k2"],"ratePerS":1e1,"x":"\"é"},)"
    R"({"name":"none","apiKeys":[]},{"name":"absent"}])";
  const std::string text = ReplaceKeys(DocumentWith(list));
  CHECK(text.find("s3cret") == std::string::npos);
  CHECK(DecodeRouteDocument(text) == DecodeRouteDocument(DocumentWith(list)));
  // Replacing them again changes nothing.
  CHECK(ReplaceKeys(text) == text);
  for (const char* odd : {
         R"(["s3cret"])",
         R"([["s3cret"]])",
         R"({"acme":{"apiKeys":["s3cret"]}})",
         R"("s3cret")",
         R"([{"name":"a","apiKeys":"s3cret"}])",
         R"([{"name":"a","apiKeys":[["s3cret"]]}])",
         R"([{"name":"a","apiKeys":{"a":"s3cret"}}])",
         R"([{"name":"a","apiKeys":["b"],"apiKeys":["s3cret"]}])",
         R"([],"tenants":[{"name":"a","apiKeys":["s3cret"]}])",
       }) {
    CAPTURE(odd);
    CHECK(ReplaceKeys(DocumentWith(odd)).find("s3cret") == std::string::npos);
  }
}

TEST_CASE("a document without tenants is not changed")
{
  for (const std::string& text : { DocumentWith(""),
                                   std::string("{ \"version\" : 1.50 }"),
                                   std::string(),
                                   std::string("no JSON"),
                                   std::string("[1]") }) {
    CHECK(ReplaceKeys(text) == text);
  }
}
