#include "settings/GatewaySettings.h"

#include <doctest/doctest.h>
#include <string>

using namespace nutmegrock;
using namespace nutmegrock::settings;

namespace {

const std::string kYaml = "node:\n"
                          "  service: till\n"
                          "  region: khomas\n"
                          "  availability_zone: khomas-a\n"
                          "  backend_server: 10.1.0.8:8301\n"
                          "listen:\n"
                          "  caller: 10.1.0.8:8304\n"
                          "  nodes: 10.1.0.8:8300\n"
                          "  ready: 10.1.0.8:8302\n"
                          "  notices: 10.1.0.8:8306\n"
                          "  peer: 10.1.0.8:7620\n"
                          "  metrics: 10.1.0.8:9464\n"
                          "store: http://10.200.1.7:8309\n";

} // namespace

TEST_CASE(
  "bounds are read as whole numbers or fractions, or keep their default")
{
  const auto plain = ParseGatewaySettings(kYaml, "node.yaml");
  REQUIRE(plain.has_value());
  CHECK(plain->mBounds == GatewayBounds{});
  CHECK(plain->mMemoryMb == 0);
  const auto limited =
    ParseGatewaySettings(kYaml + "limits:\n  memory_mb: 160\n", "node.yaml");
  REQUIRE(limited.has_value());
  CHECK(limited->mMemoryMb == 160);
  CHECK(ParseGatewaySettings(kYaml + "limits:\nbounds:\n", "node.yaml")
          .has_value());
  const auto bounded = ParseGatewaySettings(
    kYaml + "bounds:\n  drain_ms: 2500\n  stop_s: 6\n  retry_ratio: 0.15\n"
            "  retry_extra: 120\n  retry_window_s: 10\n",
    "node.yaml");
  REQUIRE(bounded.has_value());
  CHECK(bounded->mBounds.mDrain == std::chrono::milliseconds(2500));
  CHECK(bounded->mBounds.mRetryRatio == doctest::Approx(0.15));
  CHECK(bounded->mBounds.mRetryExtra == 120);
  CHECK(bounded->mListen.mPeer.mPort == 7620);
}

TEST_CASE("an error in the settings is reported with its line")
{
  struct Case
  {
    std::string mText;
    const char* mError;
  };
  const Case cases[] = {
    { kYaml + "bounds:\n  retry_ratio: much\n", "line 15: bounds.retry_ratio" },
    { kYaml + "bounds:\n  drain_ms: -1\n", "line 15: bounds.drain_ms" },
    { kYaml + "bounds:\n  odd: 1\n", "bounds.odd" },
    { kYaml + "limits:\n  memory_mb: 8\n", "line 15: limits.memory_mb" },
    { kYaml + "more: 1\n", "more" },
    { "node: 1\n", "listen" },
    { "{", "line" },
  };
  for (const Case& wrong : cases) {
    CAPTURE(wrong.mError);
    const auto settings = ParseGatewaySettings(wrong.mText, "node.yaml");
    REQUIRE(!settings.has_value());
    CHECK(settings.error().mMessage.find(wrong.mError) != std::string::npos);
  }
}

// Guards against a changed file that a running node only reports, without the
// keys that it could not apply.
TEST_CASE("only identity and addresses need a restart, and are named")
{
  const auto running = *ParseGatewaySettings(kYaml, "node.yaml");
  auto loaded = running;
  loaded.mStore = "http://10.200.1.8:8309";
  loaded.mBounds.mStop = std::chrono::seconds(9);
  loaded.mSeeds = { { "10.1.0.9", 7620 } };
  loaded.mLogLevel = "warn";
  CHECK(KeysThatNeedRestart(running, loaded).empty());
  loaded.mListen.mReady.mPort = 1;
  loaded.mService = "counter";
  CHECK(KeysThatNeedRestart(running, loaded) ==
        std::vector<std::string>{ "node.service", "listen.ready" });
  loaded = {};
  CHECK(KeysThatNeedRestart(running, loaded).size() == 10);
}
