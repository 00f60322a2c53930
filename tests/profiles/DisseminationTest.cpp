#include "profiles/ActiveProfiles.h"
#include "profiles/PollSchedule.h"
#include "profiles/ProfileExchange.h"
#include "tests/profiles/Documents.h"

#include <doctest/doctest.h>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::profiles;
using namespace nutmegrock::tests;
using namespace std::chrono_literals;
using core::ErrorKind;

TEST_SUITE("profiles/ActiveProfiles")
{
  TEST_CASE("only a higher version is activated")
  {
    struct Case
    {
      std::uint64_t mOffered;
      bool mActivated;
    };
    ActiveProfiles active;
    std::vector<std::uint64_t> seen;
    active.OnChange([&seen](const ActiveProfiles::Snapshot& aSnapshot) {
      seen.push_back(aSnapshot->mVersion);
    });
    CHECK(active.Current() == nullptr);
    CHECK(active.Record() == nullptr);
    CHECK(active.Version() == 0);
    for (const Case& entry : std::vector<Case>{ { 3, true },
                                                { 2, false },
                                                { 3, false },
                                                { 7, true },
                                                { 6, false } }) {
      const auto before = active.Current();
      CHECK(active.Activate(PublishedOf(entry.mOffered)) == entry.mActivated);
      CHECK((active.Current() == before) != entry.mActivated);
    }
    CHECK(active.Version() == 7);
    CHECK(*active.Current() == PublishedOf(7).mSet);
    CHECK(*active.Record() == PublishedOf(7).mRecord);
    CHECK(seen == std::vector<std::uint64_t>{ 3, 7 });
  }

  // Guards against a lower version replacing a higher one, and against hooks
  // out of order, when the poll and several pulls activate at the same time.
  TEST_CASE("the version never decreases with several activating threads")
  {
    ActiveProfiles active;
    std::vector<std::uint64_t> seen;
    active.OnChange([&seen](const ActiveProfiles::Snapshot& aSnapshot) {
      seen.push_back(aSnapshot->mVersion);
    });
    std::atomic<bool> done = false;
    std::atomic<bool> decreased = false;
    std::jthread reader([&] {
      std::uint64_t last = 0;
      while (!done) {
        const auto snapshot = active.Current();
        const std::uint64_t version = snapshot ? snapshot->mVersion : 0;
        decreased = decreased || version < last;
        last = version;
      }
    });
    {
      std::vector<std::jthread> writers;
      for (std::uint64_t writer = 0; writer < 3; ++writer) {
        writers.emplace_back([&active, writer] {
          for (std::uint64_t i = 1; i < 50; ++i) {
            active.Activate(PublishedOf(i * 3 + writer));
          }
        });
      }
    }
    done = true;
    reader.join();
    CHECK(!decreased);
    CHECK(active.Version() == 149);
    CHECK(std::is_sorted(seen.begin(), seen.end()));
  }
}

TEST_SUITE("profiles/PollSchedule")
{
  // Guards against exceeding the mesh's share of the store reads, and against
  // polling too slowly for the publication target.
  TEST_CASE("the interval follows the number of members and the store")
  {
    struct Case
    {
      std::size_t mMemberCount;
      int mFailures;
      core::Duration mMean;
    };
    const std::vector<Case> cases = {
      { 0, 0, 1s },   { 1, 0, 1s },     { 50, 0, 1s },
      { 200, 0, 4s }, { 3800, 0, 76s }, { 1, 1, 2s },
      { 1, 2, 4s },   { 1, 9, 4s },     { 3800, 9, 304s },
    };
    for (const Case& entry : cases) {
      PollSchedule schedule{ PollSchedule::Settings() };
      for (int i = 0; i < entry.mFailures; ++i) {
        schedule.OnRead(false);
      }
      CHECK(schedule.MeanInterval(entry.mMemberCount) == entry.mMean);
      const core::TimePoint now{ 100s };
      CHECK(schedule.Next(now, entry.mMemberCount, 0.0) ==
            now + entry.mMean / 2);
      CHECK(schedule.Next(now, entry.mMemberCount, 0.5) == now + entry.mMean);
      // One success ends the backoff.
      schedule.OnRead(true);
      CHECK(schedule.MeanInterval(1) == 1s);
    }
  }
}

TEST_SUITE("profiles/ProfileExchange")
{
  const core::Address kA{ "127.0.0.1", 1 };
  const core::Address kB{ "127.0.0.1", 2 };
  const core::Address kC{ "127.0.0.1", 3 };

  TEST_CASE("when to pull")
  {
    /// An event, with version 5 in force.
    struct Step
    {
      core::Duration mAt;
      core::Address mFrom;
      /// Version that the member reports; if empty, its pull ends.
      std::optional<std::uint64_t> mVersion;
      /// True if a pull starts, or if the result of the ended one was usable.
      bool mExpected;
    };
    struct Case
    {
      const char* mName;
      std::vector<Step> mSteps;
    };
    const std::vector<Case> cases = {
      { "older and equal versions",
        { { 0s, kA, 4, false }, { 0s, kA, 5, false } } },
      { "higher version", { { 0s, kA, 6, true } } },
      { "the same version is being pulled",
        { { 0s, kA, 6, true }, { 1s, kB, 6, false } } },
      { "a higher version than the one being pulled",
        { { 0s, kA, 6, true }, { 1s, kB, 7, true } } },
      { "too many concurrent pulls",
        { { 0s, kA, 6, true }, { 0s, kB, 7, true }, { 0s, kC, 8, false } } },
      { "no response",
        { { 0s, kA, 6, true },
          { 1999ms, kB, 6, false },
          { 2s, kB, 6, true } } },
      { "a failed pull lets another member be asked at once",
        { { 0s, kA, 6, true }, { 1s, kA, {}, false }, { 1s, kB, 6, true } } },
      { "a member that failed is not asked during the cooldown",
        { { 0s, kA, 6, true },
          { 1s, kA, {}, false },
          { 10s, kA, 6, false },
          { 11s, kA, 6, true } } },
      { "a usable pull lets the member be asked again",
        { { 0s, kA, 6, true }, { 1s, kA, {}, true }, { 1s, kA, 7, true } } },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mName);
      ProfileExchange exchange{ ProfileExchange::Settings() };
      for (const Step& step : entry.mSteps) {
        const core::TimePoint now{ step.mAt };
        if (step.mVersion) {
          CHECK(exchange.OnVersionSeen(step.mFrom, *step.mVersion, 5, now) ==
                step.mExpected);
        } else {
          exchange.OnPulled(step.mFrom, step.mExpected, now);
        }
      }
    }
  }

  TEST_CASE("a set is returned to and checked by another node")
  {
    ActiveProfiles from;
    CHECK(ProfileExchange::MakeResponse(from).error().mKind ==
          ErrorKind::NoProfiles);
    from.Activate(PublishedOf(6));
    const auto pulled =
      ProfileExchange::Check(ProfileExchange::MakeResponse(from));
    REQUIRE(pulled);
    CHECK(*pulled == PublishedOf(6));
  }

  TEST_CASE("a failed pull and an invalid set are rejected")
  {
    ProfileRecord invalid = PublishedOf(6).mRecord;
    invalid.mDocument = "profiles: {}\nservices: {}\n";
    CHECK(ProfileExchange::Check(invalid.Encode()).error().mKind ==
          ErrorKind::InvalidProfiles);
    CHECK(ProfileExchange::Check(std::string("x")).error().mKind ==
          ErrorKind::InvalidProfiles);
    CHECK(ProfileExchange::Check(core::Fail(ErrorKind::PeerLost, "x"))
            .error()
            .mKind == ErrorKind::PeerLost);
  }
}
