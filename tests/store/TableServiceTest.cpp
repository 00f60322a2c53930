#include "tests/store/Subjects.h"

using namespace nutmegrock;
using namespace nutmegrock::tests;
using core::ErrorKind;
using standins::PlatformFaults;

TEST_SUITE("store/TableService")
{
  TEST_CASE("a row is written only at the expected version")
  {
    ForEachSubject([](const Subject& aSubject) {
      auto& table = aSubject.mTable;
      CHECK(table.Read("a/b c%ü").value() == std::nullopt);
      const auto first = table.Write("a/b c%ü", "one\n\"ü\"", 0);
      REQUIRE(first);
      CHECK(*first != 0);
      // Guards against two initial publications.
      CHECK(table.Write("a/b c%ü", "two", 0).error().mKind ==
            ErrorKind::VersionConflict);
      const auto second = table.Write("a/b c%ü", "two", *first);
      REQUIRE(second);
      CHECK(*second != *first);
      // Guards against a publisher overwriting a change that it has not seen.
      CHECK(table.Write("a/b c%ü", "three", *first).error().mKind ==
            ErrorKind::VersionConflict);
      CHECK(table.Read("a/b c%ü").value() ==
            store::Row{ "a/b c%ü", "two", *second });
    });
  }

  TEST_CASE("a removed row is absent and can be written again")
  {
    ForEachSubject([](const Subject& aSubject) {
      auto& table = aSubject.mTable;
      const auto first = table.Write("k", "one", 0);
      CHECK(table.Remove("k").value());
      CHECK(table.Remove("k").value());
      CHECK(table.Read("k").value() == std::nullopt);
      CHECK(table.Write("k", "two", *first).error().mKind ==
            ErrorKind::VersionConflict);
      CHECK(table.Write("k", "two", 0).value() != *first);
    });
  }

  TEST_CASE("a scan returns the rows of a prefix in key order")
  {
    struct Case
    {
      std::string mPrefix;
      std::string mFrom;
      std::size_t mLimit;
      std::vector<std::string> mKeys;
    };
    const std::vector<Case> cases = {
      { "m/", "", 10, { "m/1", "m/2", "m/3" } },
      { "m/", "", 2, { "m/1", "m/2" } },
      { "m/", "m/2", 10, { "m/2", "m/3" } },
      { "m/", "m/15", 1, { "m/2" } },
      { "x", "", 10, {} },
      { "", "", 10, { "l", "m/1", "m/2", "m/3", "n" } },
    };
    ForEachSubject([&cases](const Subject& aSubject) {
      for (const char* key : { "m/2", "n", "m/1", "l", "m/3" }) {
        REQUIRE(aSubject.mTable.Write(key, "v", 0));
      }
      for (const Case& entry : cases) {
        const auto rows =
          aSubject.mTable.Scan(entry.mPrefix, entry.mFrom, entry.mLimit);
        REQUIRE(rows);
        std::vector<std::string> keys;
        for (const auto& row : *rows) {
          keys.push_back(row.mKey);
          CHECK(row.mVersion != 0);
        }
        CHECK(keys == entry.mKeys);
      }
    });
  }

  // Guards against a fault reported as a conflict or as success, and against a
  // lost write reported as definitely not done.
  TEST_CASE("faults")
  {
    using namespace std::chrono_literals;
    struct Case
    {
      const char* mName;
      PlatformFaults mFaults;
      bool mReadFails;
      bool mTakesEffect;
    };
    const std::vector<Case> cases = {
      { "down", { .mDown = true }, true, false },
      { "slow", { .mDelay = 2 * kShortTimeout }, true, true },
      { "response lost", { .mLoseResponses = 1 }, false, true },
    };
    ForEachSubject([&cases](const Subject& aSubject) {
      for (const Case& entry : cases) {
        CAPTURE(entry.mName);
        const auto before = aSubject.mTable.Write(entry.mName, "one", 0);
        REQUIRE(before);
        aSubject.mState.SetFaults(entry.mFaults);
        const auto written = aSubject.mTable.Write(entry.mName, "two", *before);
        REQUIRE(!written);
        CHECK(written.error().mKind == ErrorKind::StoreUnavailable);
        const auto read = aSubject.mTable.Read(entry.mName);
        CHECK(read.has_value() != entry.mReadFails);
        CHECK(aSubject.mTable.Scan("", "", 9).has_value() != entry.mReadFails);
        aSubject.mState.SetFaults({});
        CHECK(aSubject.mTable.Read(entry.mName).value()->mValue ==
              (entry.mTakesEffect ? "two" : "one"));
      }
    });
  }

  // The port allows stale reads, so the stand-in must be able to produce one
  // for the tests of its users.
  TEST_CASE("a stale read returns the row before its last write")
  {
    ForEachSubject([](const Subject& aSubject) {
      const auto first = aSubject.mTable.Write("k", "one", 0);
      REQUIRE(aSubject.mTable.Write("k", "two", *first));
      aSubject.mState.SetFaults({ .mStaleReads = 1 });
      CHECK(aSubject.mTable.Read("k").value() ==
            store::Row{ "k", "one", *first });
      CHECK(aSubject.mTable.Read("k").value()->mValue == "two");
    });
  }
}
