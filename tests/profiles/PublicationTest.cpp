#include "profiles/ProfilePublisher.h"
#include "tests/profiles/Documents.h"
#include "tests/store/FakePlatform.h"

#include <doctest/doctest.h>
#include <functional>

using namespace nutmegrock;
using namespace nutmegrock::profiles;
using namespace nutmegrock::tests;
using core::ErrorKind;

namespace {

const std::chrono::sys_seconds kNow{ std::chrono::seconds(1'700'000'000) };

/// A table and an object store with separate faults, and helpers.
struct Fixture
{
  FakePlatform mTable;
  FakePlatform mObjects;

  ProfilePublisher Publisher(std::function<void(unsigned)> aPause = {})
  {
    return { mTable,
             mObjects,
             { .mAttempts = 3, .mPause = std::move(aPause) } };
  }
  ProfileReader Reader() { return { mTable, mObjects }; }
  std::uint64_t Current()
  {
    const auto current = Reader().ReadCurrent().value();
    return current ? current->mRow.mRecord.mVersion : 0;
  }
  /// Publishes versions 1 to aVersion.
  void PublishUpTo(std::uint64_t aVersion)
  {
    for (std::uint64_t i = 0; i < aVersion; ++i) {
      REQUIRE(Publisher().Publish(RequestOf(i), kNow));
    }
  }
  static PublishRequest RequestOf(std::uint64_t aExpected,
                                  const std::string& aPublication = "")
  {
    return { DocumentOf(1000 + static_cast<int>(aExpected)),
             aExpected,
             "Jānis",
             aPublication.empty() ? "p" + std::to_string(aExpected + 1)
                                  : aPublication };
  }
};

} // namespace

TEST_SUITE("profiles/ProfilePublisher")
{
  TEST_CASE("a publication becomes the next version and is read back")
  {
    Fixture fixture;
    fixture.PublishUpTo(2);
    const auto current = fixture.Reader().CurrentSet().value();
    REQUIRE(current);
    CHECK(current->mSet.mVersion == 2);
    CHECK(current->mRecord.mAuthor == "Jānis");
    CHECK(current->mRecord.mTime == kNow);
    CHECK(current->mRecord.mDocument == DocumentOf(1001));
    CHECK(fixture.Reader().Version(1)->mDocument == DocumentOf(1000));
  }

  TEST_CASE("a request that cannot be published writes nothing")
  {
    struct Case
    {
      const char* mName;
      std::function<void(PublishRequest&)> mModify;
      ErrorKind mKind;
    };
    const std::vector<Case> cases = {
      { "faults",
        [](PublishRequest& aRequest) { aRequest.mDocument = "profiles: {}"; },
        ErrorKind::InvalidProfiles },
      { "no author",
        [](PublishRequest& aRequest) { aRequest.mAuthor = ""; },
        ErrorKind::BadRequest },
      { "author with a control character",
        [](PublishRequest& aRequest) { aRequest.mAuthor = "a\nb"; },
        ErrorKind::BadRequest },
      { "no id",
        [](PublishRequest& aRequest) { aRequest.mPublication = ""; },
        ErrorKind::BadRequest },
      { "id with a slash",
        [](PublishRequest& aRequest) { aRequest.mPublication = "a/b"; },
        ErrorKind::BadRequest },
      { "older version expected",
        [](PublishRequest& aRequest) { aRequest.mExpected = 0; },
        ErrorKind::VersionConflict },
      { "version that was never published expected",
        [](PublishRequest& aRequest) { aRequest.mExpected = 9; },
        ErrorKind::StoreUnavailable },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mName);
      Fixture fixture;
      fixture.PublishUpTo(1);
      const auto objects = fixture.mObjects.State().Counts().mWrites;
      PublishRequest request = Fixture::RequestOf(1);
      entry.mModify(request);
      const auto result = fixture.Publisher().Publish(request, kNow);
      REQUIRE(!result);
      CHECK(result.error().mError.mKind == entry.mKind);
      CHECK(result.error().mFaults.empty() !=
            (entry.mKind == ErrorKind::InvalidProfiles));
      CHECK(fixture.Current() == 1);
      CHECK(fixture.mObjects.State().Counts().mWrites == objects);
    }
  }

  // Guards against reporting success to two operators who publish concurrently,
  // and against a conflict that does not identify the publication that won.
  TEST_CASE("of two racing publishers one wins and the other gets a conflict")
  {
    Fixture fixture;
    fixture.PublishUpTo(1);
    struct RacingStore : FakePlatform
    {
      explicit RacingStore(Fixture& aFixture)
        : mFixture(aFixture)
      {
      }
      // The other publisher publishes between the read and the write of the
      // row.
      core::Expected<bool> Put(const std::string& aName,
                               const std::string& aBytes) override
      {
        if (!mRaced) {
          mRaced = true;
          CHECK(mFixture.Publisher().Publish(
            { DocumentOf(5), 1, "Ilze", "other" }, kNow));
        }
        return mFixture.mObjects.Put(aName, aBytes);
      }
      core::Expected<std::optional<std::string>> Get(
        const std::string& aName) override
      {
        return mFixture.mObjects.Get(aName);
      }
      Fixture& mFixture;
      bool mRaced = false;
    };
    RacingStore racing(fixture);
    ProfilePublisher publisher(fixture.mTable, racing, {});
    const auto result = publisher.Publish(Fixture::RequestOf(1), kNow);
    REQUIRE(!result);
    CHECK(result.error().mError.mKind == ErrorKind::VersionConflict);
    REQUIRE(result.error().mCurrent);
    CHECK(result.error().mCurrent->mRecord.mVersion == 2);
    CHECK(result.error().mCurrent->mAuthor == "Ilze");
    CHECK(result.error().mCurrent->mTime == kNow);
    CHECK(fixture.Reader().CurrentSet().value()->mRecord.mPublication ==
          "other");
  }

  /// A fault during the publication of version 2; then the same request is
  /// repeated without it.
  struct FaultCase
  {
    const char* mName;
    standins::PlatformFaults mTableFaults;
    standins::PlatformFaults mObjectFaults;
    /// True if the first request reports success.
    bool mAccepted;
    /// True if the row is written when the first request ends.
    bool mWritten;
  };

  // Guards against reporting a wrong outcome, rejected or in force, to an
  // operator, and against publishing twice.
  TEST_CASE("faults of the store")
  {
    const std::vector<FaultCase> cases = {
      { "none", {}, {}, true, true },
      { "store down for long",
        { .mDown = true },
        { .mDown = true },
        false,
        false },
      { "objects down", {}, { .mDown = true }, false, false },
      { "object response lost", {}, { .mLoseResponses = 1 }, true, true },
      { "every object response lost",
        {},
        { .mLoseResponses = -1 },
        true,
        true },
      { "row response lost", { .mLoseResponses = 1 }, {}, true, true },
      { "every row response lost", { .mLoseResponses = -1 }, {}, true, true },
      { "row response lost, then a stale read",
        { .mLoseResponses = 1, .mStaleReads = -1 },
        {},
        false,
        false },
      { "one stale read", { .mStaleReads = 1 }, {}, true, true },
      { "only stale reads", { .mStaleReads = -1 }, {}, false, false },
      { "too slow", { .mDelay = std::chrono::seconds(9) }, {}, false, false },
    };
    for (const FaultCase& entry : cases) {
      CAPTURE(entry.mName);
      Fixture fixture;
      fixture.PublishUpTo(1);
      fixture.mTable.State().SetFaults(entry.mTableFaults);
      fixture.mObjects.State().SetFaults(entry.mObjectFaults);
      const PublishRequest request = Fixture::RequestOf(1);
      const auto first = fixture.Publisher().Publish(request, kNow);
      CHECK(first.has_value() == entry.mAccepted);
      if (!first) {
        CHECK(first.error().mError.mKind == ErrorKind::StoreUnavailable);
      }
      fixture.mTable.State().SetFaults({});
      fixture.mObjects.State().SetFaults({});
      CHECK(fixture.Current() == (entry.mWritten ? 2 : 1));
      // The repeated request comes later, so its record would have another
      // time.
      const auto second =
        fixture.Publisher().Publish(request, kNow + std::chrono::hours(1));
      REQUIRE(second);
      CHECK(second->mSet.mVersion == 2);
      CHECK(fixture.Current() == 2);
      CHECK(fixture.Reader().CurrentSet().value()->mRecord == second->mRecord);
    }
  }

  // The response to the row write is lost and the store cannot be read until
  // later versions exist, so the outcome is only found in the chain of records.
  TEST_CASE("an unknown outcome is resolved through the chain of records")
  {
    for (const bool accepted : { true, false }) {
      CAPTURE(accepted);
      Fixture fixture;
      fixture.PublishUpTo(1);
      bool down = false;
      fixture.mTable.State().SetFaults(
        { .mDown = false, .mLoseResponses = accepted ? 1 : 0 });
      const PublishRequest request = Fixture::RequestOf(1, "mine");
      if (accepted) {
        const auto result =
          fixture
            .Publisher([&](unsigned) {
              fixture.mTable.State().SetFaults({ .mDown = true });
              down = true;
            })
            .Publish(request, kNow);
        REQUIRE(!result);
        CHECK(down);
        CHECK(result.error().mError.mKind == ErrorKind::StoreUnavailable);
      } else {
        REQUIRE(fixture.Publisher().Publish(Fixture::RequestOf(1), kNow));
      }
      fixture.mTable.State().SetFaults({});
      for (std::uint64_t i = 2; i < 9; ++i) {
        REQUIRE(fixture.Publisher().Publish(Fixture::RequestOf(i), kNow));
      }
      const auto again = fixture.Publisher().Publish(request, kNow);
      CHECK(again.has_value() == accepted);
      if (again) {
        CHECK(again->mRecord.mPublication == "mine");
        CHECK(again->mSet.mVersion == 2);
      } else {
        CHECK(again.error().mError.mKind == ErrorKind::VersionConflict);
        CHECK(again.error().mCurrent->mRecord.mVersion == 9);
      }
      CHECK(fixture.Current() == 9);
    }
  }

  // A store that confirms an object without storing it must not lead to a row
  // that refers to a missing object.
  TEST_CASE("the row does not refer to a lost object")
  {
    struct LossyStore : FakePlatform
    {
      core::Expected<bool> Put(const std::string&, const std::string&) override
      {
        return true;
      }
    };
    Fixture fixture;
    fixture.PublishUpTo(1);
    LossyStore objects;
    ProfilePublisher publisher(fixture.mTable, objects, {});
    const auto result = publisher.Publish(Fixture::RequestOf(1), kNow);
    REQUIRE(!result);
    CHECK(result.error().mError.mKind == ErrorKind::StoreUnavailable);
    CHECK(fixture.Current() == 1);
  }

  // Guards against treating a reused id with another document as a repetition.
  TEST_CASE("an id used for another document is rejected")
  {
    Fixture fixture;
    fixture.PublishUpTo(2);
    for (const std::uint64_t expected : { 0, 1 }) {
      PublishRequest request = Fixture::RequestOf(expected);
      request.mDocument = DocumentOf(77);
      const auto result = fixture.Publisher().Publish(request, kNow);
      REQUIRE(!result);
      CHECK(result.error().mError.mKind == ErrorKind::BadRequest);
    }
    CHECK(fixture.Current() == 2);
  }
}

TEST_SUITE("profiles/ProfileReader")
{
  TEST_CASE("history, versions and differences")
  {
    Fixture fixture;
    const ProfileReader reader = fixture.Reader();
    CHECK(reader.History(5, 0).value().empty());
    CHECK(reader.CurrentSet().value() == std::nullopt);
    CHECK(reader.Version(1).error().mKind == ErrorKind::NotFound);
    fixture.PublishUpTo(5);
    struct Case
    {
      std::size_t mLimit;
      std::uint64_t mBefore;
      std::vector<std::uint64_t> mVersions;
    };
    const std::vector<Case> cases = {
      { 2, 0, { 5, 4 } }, { 9, 0, { 5, 4, 3, 2, 1 } },  { 9, 3, { 2, 1 } },
      { 9, 1, {} },       { 9, 99, { 5, 4, 3, 2, 1 } }, { 0, 0, {} },
    };
    for (const Case& entry : cases) {
      std::vector<std::uint64_t> versions;
      const auto history = reader.History(entry.mLimit, entry.mBefore).value();
      versions.reserve(history.size());
      for (const auto& record : history) {
        versions.push_back(record.mVersion);
      }
      CHECK((versions == entry.mVersions));
    }
    CHECK(reader.Version(0).error().mKind == ErrorKind::NotFound);
    CHECK(reader.Version(6).error().mKind == ErrorKind::NotFound);
    CHECK(reader.Difference(2, 4).value() ==
          std::vector<ProfileChange>{
            { "profiles.deposit.timeout_ms", "1001", "1003" } });
    CHECK(reader.Difference(0, 1).value().size() == 6);
  }

  // With 5,400 versions a day the history is too long to walk version by
  // version.
  TEST_CASE("any version is found in a number of reads logarithmic in the age")
  {
    Fixture fixture;
    constexpr std::uint64_t kVersions = 600;
    fixture.PublishUpTo(kVersions);
    const ProfileReader reader = fixture.Reader();
    std::uint64_t maxReads = 0;
    for (std::uint64_t version = 1; version <= kVersions; ++version) {
      const auto before = fixture.mObjects.State().Counts().mReads;
      CHECK(reader.Version(version)->mVersion == version);
      maxReads =
        std::max(maxReads, fixture.mObjects.State().Counts().mReads - before);
    }
    // Myers 1983: at most about 3 log2(n).
    CHECK(maxReads <= 30);
  }

  // Guards against returning or activating a version whose object is damaged.
  TEST_CASE("a missing or damaged object is an error")
  {
    struct Case
    {
      const char* mName;
      std::function<void(standins::PlatformState&, const std::string&)> mDamage;
      ErrorKind mKind;
    };
    const std::vector<Case> cases = {
      { "missing",
        [](auto& aState, const auto& aName) { aState.RemoveObject(aName); },
        ErrorKind::StoreUnavailable },
      { "damaged",
        [](auto& aState, const auto& aName) { aState.WriteObject(aName, "x"); },
        ErrorKind::InvalidProfiles },
      { "of another version",
        [](auto& aState, const auto& aName) {
          aState.WriteObject(aName, PublishedOf(9).mRecord.Encode());
        },
        ErrorKind::InvalidProfiles },
    };
    for (const Case& entry : cases) {
      CAPTURE(entry.mName);
      Fixture fixture;
      fixture.PublishUpTo(2);
      const auto row = fixture.Reader().ReadCurrent().value()->mRow;
      entry.mDamage(fixture.mObjects.State(), row.mRecord.mObject);
      CHECK(fixture.Reader().CurrentSet().error().mKind == entry.mKind);
      CHECK(fixture.Reader().Version(1)->mVersion == 1);
    }
    Fixture fixture;
    REQUIRE(fixture.mTable.Write("profiles/current", "x", 0));
    CHECK(fixture.Reader().ReadCurrent().error().mKind ==
          ErrorKind::InvalidProfiles);
  }
}
