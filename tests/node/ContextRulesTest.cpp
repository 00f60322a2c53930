#include "node/ContextRules.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::node;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kNow{ 1h };
const core::RequestId kNew = core::RequestId::FromBits(1, 1);

profiles::ProfileSet
Set()
{
  profiles::ProfileSet set;
  set.mVersion = 4;
  set.mProfiles["progress"] = { "progress", core::Importance::Low,
                                800ms,      100ms,
                                true,       2 };
  set.mProfiles["deposit"] = { "deposit", core::Importance::Critical,
                               3000ms,    500ms,
                               false,     2 };
  set.mServices["tracker"] = { "progress", {} };
  set.mServices["till"] = { "progress", { "deposit" } };
  return set;
}

core::Expected<CallerHeaders>
Parse(const char* aName, const std::string& aValue)
{
  return CallerHeaders::Parse({ { aName, aValue } });
}

} // namespace

TEST_SUITE("node/ContextRules")
{
  TEST_CASE("invalid headers are refused")
  {
    struct Case
    {
      const char* mName;
      std::string mValue;
    };
    const Case cases[] = {
      { "Nutmegrock-Deadline-Ms", "-5" },
      { "Nutmegrock-Deadline-Ms", "0" },
      { "Nutmegrock-Deadline-Ms", "99999999999999999999" },
      { "Nutmegrock-Deadline-Ms", "5 s" },
      { "nutmegrock-request", "a b" },
      { "Nutmegrock-Request", "" },
      { "Nutmegrock-Profile", std::string(300, 'p') },
    };
    for (const Case& c : cases) {
      const auto parsed = Parse(c.mName, c.mValue);
      REQUIRE_FALSE(parsed.has_value());
      CHECK(parsed.error().mKind == core::ErrorKind::BadRequest);
    }
  }

  // An external caller must not gain time, importance or retries.
  TEST_CASE("the entry node may lower but never raise what the profile allows")
  {
    const auto set = Set();
    const auto shorter = EntryContext(
      kNow, set, "tracker", *Parse("Nutmegrock-Deadline-Ms", "50"), kNew);
    REQUIRE(shorter.has_value());
    CHECK(shorter->mDeadline == kNow + 50ms);
    CHECK(shorter->mRetryBudget == 2);
    const auto longer = EntryContext(
      kNow, set, "tracker", *Parse("Nutmegrock-Deadline-Ms", "90000"), kNew);
    CHECK(longer->mDeadline == kNow + 800ms);
    const auto forged = EntryContext(
      kNow, set, "tracker", *Parse("Nutmegrock-Profile", "deposit"), kNew);
    CHECK(forged.error().mKind == core::ErrorKind::Forbidden);
    const auto allowed = EntryContext(
      kNow, set, "till", *Parse("Nutmegrock-Profile", "deposit"), kNew);
    CHECK(allowed->mImportance == core::Importance::Critical);
    const auto unknown = EntryContext(
      kNow, set, "till", *Parse("Nutmegrock-Profile", "gift"), kNew);
    CHECK(unknown.error().mMessage ==
          "profile \"gift\" does not exist in version 4");
    CHECK(EntryContext(kNow, set, "shop", {}, kNew).error().mKind ==
          core::ErrorKind::UnknownService);
  }

  // A backend server must not extend the deadline, retries or profile of the
  // request that it runs.
  TEST_CASE("a nested call inherits its parent's limits and cannot extend them")
  {
    const auto set = Set();
    const auto parent = EntryContext(
      kNow, set, "till", *Parse("Nutmegrock-Profile", "deposit"), kNew);
    const auto nested =
      NestedContext(*parent, set, *Parse("Nutmegrock-Deadline-Ms", "90000"), 9);
    REQUIRE(nested.has_value());
    CHECK(nested->mDeadline == parent->mDeadline);
    CHECK(nested->mRequest == parent->mRequest);
    CHECK(nested->mRetryBudget == parent->mRetryBudget);
    CHECK(nested->mDepth == 1);
    CHECK_FALSE(nested->mIdempotent);

    const auto browse = EntryContext(kNow, set, "tracker", {}, kNew);
    CHECK(
      NestedContext(*browse, set, *Parse("Nutmegrock-Profile", "deposit"), 1)
        .error()
        .mKind == core::ErrorKind::ProfileConflict);

    core::CallContext deep = *browse;
    deep.mDepth = core::kMaxDepth - 1;
    CHECK(NestedContext(deep, set, {}, 1).error().mKind ==
          core::ErrorKind::DepthExceeded);
  }

  // A backend server that omits the token must not gain retries or time.
  TEST_CASE(
    "an orphan call has no retries and no deadline beyond the calls in flight")
  {
    const auto untied =
      OrphanContext(kNow, Set(), "tracker", kNow + 20ms, kNew);
    REQUIRE(untied.has_value());
    CHECK(untied->mRetryBudget == 0);
    CHECK(untied->mDeadline == kNow + 20ms);
  }

  TEST_CASE("only end-to-end headers are forwarded")
  {
    const transport::Headers headers = { { "connection", "close" },
                                         { "X-Operation", "7" },
                                         { "nutmegrock-call", "t" },
                                         { "Content-Type", "a/b" },
                                         { "content-length", "5" } };
    const auto kept = EndToEndHeaders(headers);
    CHECK(kept == transport::Headers{ { "X-Operation", "7" },
                                      { "Content-Type", "a/b" } });
  }
}
