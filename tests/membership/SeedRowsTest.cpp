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

/// Seed rows that run on a fake table until the test ends.
struct Bench
{
  void Start(std::chrono::nanoseconds aStaleAfter = 2h)
  {
    SeedRowsHooks hooks;
    hooks.mFound = [this](const std::vector<core::Address>& aFound) {
      const std::lock_guard lock(mMutex);
      for (const core::Address& address : aFound) {
        mFound.insert(address.ToString());
      }
      ++mReads;
    };
    hooks.mIsAlone = [] { return false; };
    hooks.mIsGone = [](core::Incarnation aIncarnation) {
      return aIncarnation.mBits < 100;
    };
    mRows = std::make_unique<SeedRows>(
      mTable, Own(), aStaleAfter, std::move(hooks), mCounters);
  }

  /// Waits on a condition; the limit only ends a test that fails.
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
  std::unique_ptr<SeedRows> mRows;
};

} // namespace

TEST_SUITE("membership/udp/SeedRows")
{
  // Reads of whole regions by each of 3,800 starting nodes would take all of
  // the store's capacity.
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
      Bench bench;
      const auto put = [&](const char* aRegion, std::size_t aCount, int aPort) {
        for (std::size_t i = 0; i < aCount; ++i) {
          bench.mTable->Put(fmt::format("nodes/{}/{:016x}",
                                        aRegion,
                                        0x9e3779b97f4a7c15ULL * (i + 1)),
                            fmt::format("10.0.0.{}:{}", i % 250 + 1, aPort));
        }
      };
      put("khomas", row.mOwnRegion, 1);
      put("erongo", row.mBefore, 2);
      put("zambezi", row.mAfter, 3);
      bench.Start();
      CHECK(bench.Eventually([&] { return bench.mReads == 1; }));
      CHECK(bench.mTable->mRowsRead <= 16);
      CHECK(bench.Found().size() <= row.mFound);
      CHECK(bench.Found().size() + 1 >= row.mFound);
      CHECK(bench.mTable->Has("nodes/khomas/0000000000000042"));
    }
  }

  // The row was written although the answer said otherwise.
  TEST_CASE("a lost answer of the store does not stop the start")
  {
    Bench bench;
    bench.mTable->mLoseResponses = true;
    bench.Start();
    CHECK(bench.Eventually([&] { return bench.mReads > 0; }));
    CHECK(bench.mTable->mWrites == 2);
    CHECK(bench.mCounters.mStoreFailed == 1);
  }

  TEST_CASE("a row that cannot be read as an address is passed over")
  {
    Bench bench;
    bench.mTable->Put("nodes/khomas/0000000000000077", "nonsense");
    bench.mTable->Put("nodes/khomas/0000000000000078", "10.0.0.2:7002");
    bench.Start();
    CHECK(bench.Eventually([&] { return bench.mReads > 0; }));
    CHECK(bench.Found() == std::set<std::string>{ "10.0.0.2:7002" });
  }

  // Rows of nodes that were killed would fill the table.
  TEST_CASE("rows of members that are gone are removed")
  {
    Bench bench;
    const std::string gone = "nodes/khomas/0000000000000010";
    const std::string present = "nodes/khomas/0000000000001000";
    const std::string told = "nodes/khomas/0000000000000043";
    bench.mTable->Put(gone, "10.0.0.2:7002");
    bench.mTable->Put(present, "10.0.0.3:7002");
    bench.mTable->Put(told, "10.0.0.4:7002");
    bench.Start(0s);
    CHECK(bench.Eventually([&] { return !bench.mTable->Has(gone); }));
    CHECK(bench.mTable->Has(present));
    Member dead = Own();
    dead.mIncarnation = { 0x43 };
    bench.mRows->Remove(dead);
    CHECK(bench.Eventually([&] { return !bench.mTable->Has(told); }));
  }

  TEST_CASE("leaving removes the own row, or gives up while the store is down")
  {
    for (const bool down : { false, true }) {
      CAPTURE(down);
      Bench bench;
      bench.Start();
      REQUIRE(bench.Eventually([&] { return bench.mReads > 0; }));
      bench.mTable->mDown = down;
      bench.mRows->Leave(300ms);
      bench.mRows->WaitUntil(SeedRows::Clock::now() + 30s);
      CHECK(bench.mTable->Has("nodes/khomas/0000000000000042") == down);
    }
  }
}
