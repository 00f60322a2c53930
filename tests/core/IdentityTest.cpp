#include "core/Address.h"
#include "core/Level.h"
#include "core/RequestId.h"

#include <doctest/doctest.h>

using namespace nutmegrock::core;

TEST_SUITE("core/Identity")
{
  TEST_CASE("request identity accepts only short plain text")
  {
    CHECK(RequestId::Parse("a-1_b.c:d").has_value());
    const std::string long_text(RequestId::kMaxLength + 1, 'a');
    for (const std::string& text : { std::string(),
                                     long_text,
                                     std::string("a b"),
                                     std::string("a\r\n") }) {
      const auto parsed = RequestId::Parse(text);
      REQUIRE_FALSE(parsed.has_value());
      CHECK(parsed.error().mKind == ErrorKind::BadRequest);
    }
  }

  // If hops computed different cohorts, one would admit a request that another
  // refuses.
  TEST_CASE("equal identities share hash and cohort")
  {
    const auto one = RequestId::FromBits(1, 2);
    const auto two = RequestId::Parse(one.ToString());
    REQUIRE(two.has_value());
    CHECK(one == *two);
    CHECK(one.Hash() == two->Hash());
    CHECK(one.CohortOf() < kCohorts);
  }

  TEST_CASE("addresses round-trip and bad ones are refused")
  {
    for (const char* text : { "127.0.0.1:80", "[::1]:65535" }) {
      const auto parsed = Address::Parse(text);
      REQUIRE(parsed.has_value());
      CHECK(parsed->ToString() == text);
    }
    for (const char* text : { "",
                              "127.0.0.1",
                              "host:80",
                              "1.2.3.4:0",
                              "1.2.3.4:70000",
                              "1.2.3.4:8x",
                              ":80" }) {
      CHECK_FALSE(Address::Parse(text).has_value());
    }
  }

  TEST_CASE("a level admits by importance first, then by cohort")
  {
    const Level level{ Importance::Normal, 64 };
    CHECK(level.Admits(Importance::High, 0));
    CHECK(level.Admits(Importance::Normal, 64));
    CHECK_FALSE(level.Admits(Importance::Normal, 63));
    CHECK_FALSE(level.Admits(Importance::Low, 127));
    CHECK(Level{}.Admits(Importance::Background, 0));
  }
}
