#include "limits/LevelCache.h"

#include <doctest/doctest.h>
#include <string>
#include <thread>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::ErrorKind;
using core::Importance;
using core::Level;
using limits::LevelCache;

namespace {

constexpr core::TimePoint kStart{ 1h };
constexpr Level kOpen{};
constexpr Level kHalf{ Importance::Normal, 64 };

core::CallFeedback
Report(Level aLevel, Level aDownstreamLevel = {})
{
  return { aLevel, aDownstreamLevel, 0, 0 };
}

} // namespace

TEST_SUITE("limits/LevelCache")
{
  TEST_CASE("refuses what the level of the service or below it refuses")
  {
    struct Row
    {
      Level mLevel;
      Level mDownstreamLevel;
      core::Cohort mCohort;
      std::optional<ErrorKind> mExpected;
    };
    for (const Row& row :
         { Row{ kOpen, kOpen, 0, std::nullopt },
           Row{ kHalf, kOpen, 63, ErrorKind::LevelTooLow },
           Row{ kHalf, kOpen, 64, std::nullopt },
           Row{ kOpen, kHalf, 63, ErrorKind::LevelTooLowDownstream },
           Row{ kOpen, kHalf, 64, std::nullopt },
           Row{ kHalf, kHalf, 0, ErrorKind::LevelTooLow } }) {
      const auto cache = *LevelCache::Create({});
      cache->Learn(
        kStart, "till", "pay", Report(row.mLevel, row.mDownstreamLevel));
      CHECK(
        cache->Check(kStart, "till", "pay", Importance::Normal, row.mCohort) ==
        row.mExpected);
      CHECK_FALSE(
        cache->Check(kStart, "till", "browse", Importance::Normal, 0));
      CHECK_FALSE(
        cache->Check(kStart, "tracker", "pay", Importance::Normal, 0));
    }
  }

  // One overloaded server of several must not block the whole service.
  TEST_CASE("the lowest recent level of the service counts")
  {
    const auto cache = *LevelCache::Create({});
    cache->Learn(kStart, "till", "pay", Report(kHalf));
    cache->Learn(kStart, "till", "pay", Report(kOpen));
    CHECK_FALSE(cache->Check(kStart, "till", "pay", Importance::Normal, 0));
    // Reports much older than the newest one are ignored.
    cache->Learn(kStart + 300ms, "till", "pay", Report(kHalf));
    CHECK(cache->Check(kStart + 300ms, "till", "pay", Importance::Normal, 0) ==
          ErrorKind::LevelTooLow);
  }

  TEST_CASE("an entry expires after 1 s")
  {
    const auto cache = *LevelCache::Create({});
    cache->Learn(kStart, "till", "pay", Report(kHalf));
    CHECK(cache->Check(kStart + 999ms, "till", "pay", Importance::Normal, 0));
    CHECK_FALSE(
      cache->Check(kStart + 1s, "till", "pay", Importance::Normal, 0));
    CHECK(cache->Size() == 0);
  }

  // Without probes a level above all calls of a profile would never be seen to
  // fall; too many probes would be the load that the cache prevents.
  TEST_CASE("a bounded share of refused calls is let through")
  {
    const auto cache = *LevelCache::Create({});
    unsigned probes = 0;
    core::TimePoint now = kStart;
    for (int i = 0; i < 10000; ++i) {
      now += 100us;
      cache->Learn(now, "till", "pay", Report({ Importance::Critical, 0 }));
      probes += cache->Check(now, "till", "pay", Importance::High, 0) ? 0 : 1;
    }
    CHECK(probes >= 50);
    CHECK(probes <= 10000 / 64);
  }

  TEST_CASE("holds a bounded number of entries and drops the oldest")
  {
    const auto cache = *LevelCache::Create({ .mMaxEntries = 32, .mShards = 4 });
    for (int i = 0; i < 1000; ++i) {
      cache->Learn(kStart + std::chrono::microseconds(i),
                   "service" + std::to_string(i),
                   "pay",
                   Report(kHalf));
      CHECK(cache->Check(kStart + std::chrono::microseconds(i),
                         "service" + std::to_string(i),
                         "pay",
                         Importance::Normal,
                         0));
    }
    CHECK(cache->Size() <= 32);
    CHECK_FALSE(LevelCache::Create({ .mMaxEntries = 1 }).has_value());
  }

  // To be run with -fsanitize=thread: nodes call from all their threads.
  TEST_CASE("is safe from several threads")
  {
    const auto cache = *LevelCache::Create({ .mMaxEntries = 32, .mShards = 4 });
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&, thread] {
        for (int i = 0; i < 3000; ++i) {
          const std::string service = "service" + std::to_string(i % 50);
          const auto now = kStart + std::chrono::milliseconds(i);
          cache->Learn(now, service, "pay", Report(kHalf, kHalf));
          cache->Check(now,
                       service,
                       "pay",
                       Importance::Normal,
                       static_cast<core::Cohort>(thread));
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(cache->Size() <= 32);
  }
}
