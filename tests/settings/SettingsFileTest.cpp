#include "settings/SettingsFile.h"

#include <doctest/doctest.h>
#include <string>

using namespace nutmegrock;
using nutmegrock::settings::ParseNodeSettings;

namespace {

const std::string kGood = R"(node:
  service: tracker
  region: khomas
  availability_zone: khomas-a
  backend_server: 127.0.0.1:9000
  slots: 130
  connections: 850
listen:
  caller: 127.0.0.1:7000
  backend: 127.0.0.1:7001
  peer: 127.0.0.1:7002
  admin: 127.0.0.1:7003
platform:
  table_service: http://127.0.0.1:6000
  object_store: http://127.0.0.1:6000
)";

std::string
Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const auto at = aText.find(aFrom);
  REQUIRE(at != std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

} // namespace

TEST_SUITE("settings/SettingsFile")
{
  TEST_CASE("complete settings are read")
  {
    const auto settings =
      ParseNodeSettings(kGood + "seeds: [127.0.0.1:7102]\n", "f");
    REQUIRE(settings.has_value());
    CHECK(settings->mService == "tracker");
    CHECK(settings->mSlots == 130);
    CHECK(settings->mListen.mPeer.mPort == 7002);
    CHECK(settings->mSeeds.size() == 1);
    CHECK(settings->mOverload.mEnabled);
  }

  // Each error must contain the file, the line and the key.
  TEST_CASE("each error gives one line")
  {
    struct Case
    {
      std::string mYaml;
      std::string mMessage;
    };
    const Case cases[] = {
      { Replaced(kGood, "slots: 130", "slots: many"),
        "f: line 6: node.slots: must be a whole number" },
      { Replaced(kGood, "slots: 130", "slots: 0"),
        "f: line 6: node.slots: must be from 1 to 100000, not 0" },
      { Replaced(kGood, "slots: 130", "slots: -1"),
        "f: line 6: node.slots: must be a whole number" },
      { Replaced(kGood, "  slots: 130\n", ""),
        "f: line 2: node.slots: is missing" },
      { Replaced(kGood, "slots: 130", "slots: 130\n  slotz: 1"),
        "f: line 7: node.slotz: is not a known key" },
      { Replaced(kGood, "slots: 130", "slots: 130\n  slots: 1"),
        "f: line 7: node.slots: is a duplicate key" },
      { Replaced(kGood, "127.0.0.1:7002", "localhost:7002"),
        "f: line 11: listen.peer: \"localhost:7002\" is not an IP address and "
        "port" },
      { kGood + "overload: {enabled: perhaps}\n",
        "f: line 16: overload.enabled: must be true or false" },
      { kGood + "overload: {unbounded_retries: 3}\n",
        "f: line 16: overload.unbounded_retries: needs overload.enabled: "
        "false" },
      { kGood + "log: {level: loud}\n",
        "f: line 16: log.level: must be debug, info, warning, error or off" },
      { kGood + "seeds: 5\n", "f: line 16: seeds: must be a list" },
      { kGood + "extra: 1\n", "f: line 16: extra: is not a known key" },
    };
    for (const Case& c : cases) {
      const auto settings = ParseNodeSettings(c.mYaml, "f");
      REQUIRE_FALSE(settings.has_value());
      CHECK(settings.error().mKind == core::ErrorKind::InvalidSettings);
      CHECK(settings.error().mMessage == c.mMessage);
    }
  }

  TEST_CASE("all errors of a document are reported together")
  {
    const auto settings = ParseNodeSettings("node: 1\nother: 2\n", "f");
    REQUIRE_FALSE(settings.has_value());
    for (const char* part : { "node: must be a map",
                              "listen: is missing",
                              "other: is not a known key" }) {
      CHECK(settings.error().mMessage.find(part) != std::string::npos);
    }
  }

  TEST_CASE("text that is not YAML is refused")
  {
    CHECK_FALSE(ParseNodeSettings("a: [", "f").has_value());
    CHECK_FALSE(ParseNodeSettings("", "f").has_value());
    CHECK_FALSE(settings::LoadNodeSettings("no-such-file").has_value());
  }
}
