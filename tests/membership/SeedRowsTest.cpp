#include "membership/udp/SeedRows.h"
#include "tests/membership/FakeTable.h"

#include <algorithm>
#include <atomic>
#include <doctest/doctest.h>
#include <memory>
#include <set>
#include <spdlog/fmt/fmt.h>
#include <thread>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace nutmegrock::membership::udp;
using namespace std::chrono_literals;

namespace {

Member
Own()
{
  Member member;
  member.mIncarnation = { 0x42 };
  member.mAddress = { "10.0.0.1", 7002 };
  member.mService = "till";
  member.mRegion = "khomas";
  member.mAvailabilityZone = "khomas-a";
  return member;
}

/// Seed rows on a fake table.
struct Fixture
{
  void Start(std::chrono::nanoseconds aStaleAfter = 2h)
  {
    SeedRowsHooks hooks;
    hooks.mOnRowsFound = [this](const std::vector<core::Address>& aFound) {
      const std::lock_guard lock(mMutex);
      for (const core::Address& address : aFound) {
        mFound.insert(address.ToString());
      }
      ++mReads;
    };
    hooks.mMembers = [this] { return mMembers; };
    hooks.mIsGone = [](core::Incarnation aIncarnation) {
      return aIncarnation.mBits < 100;
    };
    SeedRowsSettings settings;
    settings.mStaleAfter = aStaleAfter;
    settings.mSettleTime = mSettleTime;
    mRows = std::make_unique<SeedRows>(
      mTable, Own(), settings, std::move(hooks), mCounters);
  }

  /// Waits until a condition holds; the limit is reached only by a failing
  /// test.
  template<class Condition>
  bool Eventually(Condition aCondition)
  {
    for (int i = 0; i < 6000; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(5ms);
    }
    return false;
  }
  std::set<std::string> Found()
  {
    const std::lock_guard lock(mMutex);
    return mFound;
  }

  std::shared_ptr<FakeTable> mTable = std::make_shared<FakeTable>();
  MembershipCounters mCounters;
  std::mutex mMutex;
  std::set<std::string> mFound;
  std::atomic<int> mReads{ 0 };
  std::size_t mMembers = 0;
  std::chrono::milliseconds mSettleTime{ 20 };
  std::unique_ptr<SeedRows> mRows;
};

} // namespace

TEST_SUITE("membership/udp/SeedRows")
{
  // Reads of whole regions by each of 3,800 starting nodes would use up the
  // capacity of the store.
  TEST_CASE("at most 16 rows are read, of the own and the next region")
  {
    struct Case
    {
      std::string mName;
      std::size_t mOwnRegion;
      std::size_t mBefore;
      std::size_t mAfter;
      std::size_t mFound;
    };
    for (const Case& row : { Case{ "alone", 0, 0, 0, 0 },
                             Case{ "few", 3, 0, 0, 3 },
                             Case{ "next region", 3, 0, 2, 5 },
                             Case{ "ring wraps", 3, 2, 0, 5 },
                             Case{ "many", 300, 300, 300, 15 } }) {
      CAPTURE(row.mName);
      Fixture fixture;
      const auto put = [&](const char* aRegion, std::size_t aCount, int aPort) {
        for (std::size_t i = 0; i < aCount; ++i) {
          fixture.mTable->Put(fmt::format("nodes/{}/{:016x}",
                                          aRegion,
                                          0x9e3779b97f4a7c15ULL * (i + 1)),
                              fmt::format("10.0.0.{}:{}", i % 250 + 1, aPort));
        }
      };
      put("khomas", row.mOwnRegion, 1);
      put("erongo", row.mBefore, 2);
      put("zambezi", row.mAfter, 3);
      fixture.Start();
      CHECK(fixture.Eventually(
        [&] { return fixture.Found().size() + 1 >= row.mFound; }));
      std::this_thread::sleep_for(100ms);
      // One report for each region.
      CHECK(fixture.mReads >= 1);
      CHECK(fixture.mReads <= 2);
      CHECK(fixture.mTable->mRowsRead <= 16);
      CHECK(fixture.Found().size() <= row.mFound);
      CHECK(fixture.Found().size() + 1 >= row.mFound);
      CHECK(fixture.mTable->Has("nodes/khomas/0000000000000042"));
    }
  }

  // Load pattern: all nodes of a region start at once. Guards against calls to
  // the store that each of them makes and that one of them could make for all.
  TEST_CASE("a starting node with neighbours does not read the next region")
  {
    Fixture fixture;
    for (int i = 0; i < 96; ++i) {
      fixture.mTable->Put(
        fmt::format("nodes/khomas/{:016x}", 0x9e3779b97f4a7c15ULL * (i + 1)),
        fmt::format("10.0.0.{}:7002", i + 1));
    }
    fixture.mTable->Put("nodes/zambezi/0000000000000001", "10.0.1.1:7002");
    // Reads are spread over 200,000 s here.
    fixture.mMembers = 100'000;
    fixture.Start();
    CHECK(fixture.Eventually([&] { return fixture.mReads == 1; }));
    std::this_thread::sleep_for(200ms);
    CHECK(fixture.mReads == 1);
    CHECK(fixture.mTable->mScans <= 2);
  }

  // The row was written although the response reported an error.
  TEST_CASE("a lost response of the store does not prevent the start")
  {
    Fixture fixture;
    fixture.mTable->mLoseResponses = true;
    fixture.Start();
    CHECK(fixture.Eventually([&] { return fixture.mReads > 0; }));
    CHECK(fixture.mTable->mWrites == 2);
    CHECK(fixture.mCounters.mStoreFailed == 1);
  }

  TEST_CASE("a row that is not an address is skipped")
  {
    Fixture fixture;
    fixture.mTable->Put("nodes/khomas/0000000000000077", "nonsense");
    fixture.mTable->Put("nodes/khomas/0000000000000078", "10.0.0.2:7002");
    fixture.Start();
    CHECK(fixture.Eventually([&] { return fixture.mReads > 0; }));
    CHECK(fixture.Found() == std::set<std::string>{ "10.0.0.2:7002" });
  }

  // Otherwise rows of killed nodes would fill the table.
  TEST_CASE("rows of members that are gone are removed")
  {
    Fixture fixture;
    const std::string gone = "nodes/khomas/0000000000000010";
    const std::string present = "nodes/khomas/0000000000001000";
    const std::string removed = "nodes/khomas/0000000000000043";
    fixture.mTable->Put(gone, "10.0.0.2:7002");
    fixture.mTable->Put(present, "10.0.0.3:7002");
    fixture.mTable->Put(removed, "10.0.0.4:7002");
    fixture.Start(0s);
    CHECK(fixture.Eventually([&] { return !fixture.mTable->Has(gone); }));
    CHECK(fixture.mTable->Has(present));
    Member dead = Own();
    dead.mIncarnation = { 0x43 };
    fixture.mRows->Remove(dead);
    CHECK(fixture.Eventually([&] { return !fixture.mTable->Has(removed); }));
  }

  TEST_CASE("leaving removes the own row, or gives up while the store is down")
  {
    for (const bool down : { false, true }) {
      CAPTURE(down);
      Fixture fixture;
      fixture.Start();
      REQUIRE(fixture.Eventually([&] { return fixture.mReads > 0; }));
      fixture.mTable->mDown = down;
      fixture.mRows->Leave(300ms);
      fixture.mRows->WaitUntil(SeedRows::Clock::now() + 30s);
      CHECK(fixture.mTable->Has("nodes/khomas/0000000000000042") == down);
    }
  }

  // Guards against nodes that do not know each other for most of a minute after
  // the store is back, since each waits for the end of its own backoff.
  TEST_CASE("a report that the store answers again ends the backoff")
  {
    Fixture fixture;
    fixture.mMembers = 3;
    fixture.mTable->mDown = true;
    fixture.Start();
    // The next attempt would follow after 2 to 6 s.
    REQUIRE(fixture.Eventually([&] { return fixture.mTable->mWrites == 4; }));
    fixture.mTable->mDown = false;
    fixture.mRows->Retry();
    std::this_thread::sleep_for(1s);
    CHECK(fixture.mTable->Has("nodes/khomas/0000000000000042"));
  }

  // Guards against a node that finds no other one while the store refuses only
  // writes.
  TEST_CASE("a lone node reads rows while its own cannot be written")
  {
    Fixture fixture;
    fixture.mTable->Put("nodes/khomas/0000000000000078", "10.0.0.2:7002");
    fixture.mTable->mRefuseWrites = true;
    fixture.Start();
    CHECK(fixture.Eventually([&] { return fixture.mRows->HasRead(); }));
    CHECK(fixture.Found() == std::set<std::string>{ "10.0.0.2:7002" });
    // The row is written as soon as that is possible.
    fixture.mTable->mRefuseWrites = false;
    CHECK(fixture.Eventually(
      [&] { return fixture.mTable->Has("nodes/khomas/0000000000000042"); }));
  }

  // Guards against a node that the others do not find in a store that moved.
  TEST_CASE("the own row is written again when the store has changed")
  {
    Fixture fixture;
    fixture.Start();
    const std::string own = "nodes/khomas/0000000000000042";
    REQUIRE(fixture.Eventually([&] { return fixture.mReads > 0; }));
    REQUIRE(fixture.mTable->Remove(own));
    fixture.mRows->Rewrite();
    CHECK(fixture.Eventually([&] { return fixture.mTable->Has(own); }));
  }
}
