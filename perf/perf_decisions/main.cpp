// Measures the decisions on the path of a call, in nanoseconds per operation.
// Usage: perf_decisions [operations].

#include "limits/Admission.h"
#include "limits/LevelCache.h"
#include "routing/Router.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

namespace nutmegrock::perf {

namespace {

using Clock = std::chrono::steady_clock;

constexpr core::TimePoint kStart{ std::chrono::hours{ 1 } };
constexpr std::size_t kThreads = 4;

std::uint64_t
HashNumber(std::uint64_t aNumber)
{
  return aNumber * 0x9e3779b97f4a7c15ULL;
}

/// Runs aOperation with 0 to aCount - 1 and prints the mean time of one run.
template<class Operation>
void
MeasureTime(const char* aName, std::uint64_t aCount, Operation aOperation)
{
  const Clock::time_point begin = Clock::now();
  for (std::uint64_t i = 0; i < aCount; ++i) {
    aOperation(i);
  }
  const std::chrono::duration<double, std::nano> took = Clock::now() - begin;
  std::printf(
    "%-44s %8.0f ns\n", aName, took.count() / static_cast<double>(aCount));
}

/// Keeps aWaiting calls in the queue while all slots are in use.
void
MeasureAdmission(std::uint64_t aCount, std::uint32_t aWaiting)
{
  limits::AdmissionSettings settings;
  settings.mLimit.mSlots = 100;
  settings.mLimit.mColdStartShare = 1;
  // With a shorter target delay, the level would refuse most calls of this
  // loop.
  settings.mLevel.mTargetDelay = std::chrono::hours{ 1 };
  auto admission = *limits::Admission::Create(settings);
  std::uint64_t id = 0;
  std::vector<std::uint64_t> running;
  const auto take = [&](const limits::AdmissionResult& aResult) {
    running.insert(
      running.end(), aResult.mToStart.begin(), aResult.mToStart.end());
  };
  const auto offer = [&](core::TimePoint aNow) {
    ++id;
    take(admission.Offer(
      aNow,
      { id,
        static_cast<core::Importance>(HashNumber(id) >> 60U & 3U),
        static_cast<core::Cohort>(id % core::kCohorts),
        static_cast<std::uint32_t>(id % 3),
        aNow + std::chrono::hours{ 1 },
        std::chrono::hours{ 1 } }));
  };
  const std::uint32_t full = aWaiting > 0 ? 100 + aWaiting : 50;
  core::TimePoint now = kStart;
  while (admission.InFlight() + admission.Waiting() < full) {
    offer(now);
  }
  const std::string name =
    "Offer + Finish, " + std::to_string(aWaiting) + " waiting";
  std::size_t next = 0;
  MeasureTime(name.c_str(), aCount, [&](std::uint64_t) {
    now += std::chrono::microseconds{ 100 };
    take(admission.Finish(
      now,
      running[next++],
      { std::chrono::milliseconds{ 10 }, limits::CallOutcomeKind::Ok }));
    offer(now);
  });
}

std::unique_ptr<routing::Router>
MakeRouter(std::size_t aServices, std::size_t aServers)
{
  auto router = *routing::Router::Create({});
  std::uint64_t id = 0;
  for (std::size_t service = 0; service < aServices; ++service) {
    std::vector<routing::Candidate> candidates;
    for (std::size_t i = 0; i < aServers; ++i) {
      ++id;
      candidates.push_back({ core::Incarnation{ HashNumber(id) },
                             { "10.0.0.1", 7000 },
                             "zone-" + std::to_string(i % 3),
                             100,
                             routing::CandidateState::Serving,
                             kStart - std::chrono::hours{ 1 } });
    }
    router->Update(kStart, "service-" + std::to_string(service), candidates);
  }
  return router;
}

void
MeasureRouter(std::uint64_t aCount, std::size_t aServices, std::size_t aServers)
{
  const auto router = MakeRouter(aServices, aServers);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < aServices; ++i) {
    names.push_back("service-" + std::to_string(i));
  }
  const std::string size =
    std::to_string(aServices) + " services of " + std::to_string(aServers);
  const core::CallFeedback feedback{};
  core::TimePoint now = kStart;
  MeasureTime(("Choose, " + size).c_str(), aCount, [&](std::uint64_t aNumber) {
    const auto choice = router->Choose(
      now, names[aNumber % aServices], HashNumber(aNumber), "zone-0", {});
    if (!choice) {
      std::abort();
    }
  });
  MeasureTime(
    ("Choose + OnStart + OnEnd, " + size).c_str(),
    aCount,
    [&](std::uint64_t aNumber) {
      now += std::chrono::microseconds{ 1 };
      const auto choice = router->Choose(
        now, names[aNumber % aServices], HashNumber(aNumber), "zone-0", {});
      router->OnStart(now, choice->mIncarnation);
      router->OnEnd(now,
                    choice->mIncarnation,
                    routing::AttemptOutcome::Ok,
                    std::chrono::milliseconds{ 1 },
                    &feedback);
    });
}

void
MeasureLevelCache(std::uint64_t aCount)
{
  const auto cache = *limits::LevelCache::Create({});
  std::vector<std::string> services;
  for (int i = 0; i < 430; ++i) {
    services.push_back("service-" + std::to_string(i));
    cache->Learn(kStart,
                 services.back(),
                 "browse",
                 { { core::Importance::Normal, 64 }, {}, 0, 0 });
  }
  const auto check = [&](std::uint64_t aNumber) {
    cache->Check(kStart,
                 services[aNumber % services.size()],
                 "browse",
                 core::Importance::Normal,
                 static_cast<core::Cohort>(aNumber % core::kCohorts));
  };
  MeasureTime("LevelCache::Check", aCount, check);
  MeasureTime("LevelCache::Learn", aCount, [&](std::uint64_t aNumber) {
    cache->Learn(kStart,
                 services[aNumber % services.size()],
                 "browse",
                 { { core::Importance::Normal, 64 }, {}, 0, 0 });
  });
  const Clock::time_point begin = Clock::now();
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back([&, i] {
      for (std::uint64_t n = 0; n < aCount; ++n) {
        check(n * 7 + i);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double, std::nano> took = Clock::now() - begin;
  std::printf("%-44s %8.0f ns\n",
              "LevelCache::Check, per call in 4 threads",
              took.count() / static_cast<double>(aCount));
}

} // namespace

} // namespace nutmegrock::perf

int
main(int aCount, char** aArguments)
{
  using namespace nutmegrock::perf;
  const std::uint64_t count =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 500000;
  MeasureAdmission(count, 0);
  MeasureAdmission(count, 100);
  MeasureAdmission(count, 900);
  MeasureRouter(count, 430, 9);
  MeasureRouter(count, 8, 475);
  MeasureLevelCache(count);
  return 0;
}
