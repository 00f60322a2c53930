#include "limits/AdmissionLevel.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::Importance;
using core::Level;
using limits::AdmissionLevel;

namespace {

constexpr core::TimePoint kStart{ 1h };
constexpr auto kWindow = 50ms;

/// Sends aCalls of each importance from aFrom to aTo, spread over the cohorts,
/// and ends the window with aInput. Returns how many were admitted.
unsigned
Window(AdmissionLevel& aLevel,
       core::TimePoint& aNow,
       unsigned aCalls,
       Importance aFrom,
       Importance aTo,
       const limits::LevelInput& aInput)
{
  unsigned admitted = 0;
  for (auto i = static_cast<int>(aFrom); i <= static_cast<int>(aTo); ++i) {
    for (unsigned call = 0; call < aCalls; ++call) {
      const auto cohort =
        static_cast<core::Cohort>(call * core::kCohorts / aCalls);
      if (aLevel.OnArrival(aNow, static_cast<Importance>(i), cohort)) {
        ++admitted;
        aLevel.OnStart(aInput.mOldestWait);
      }
    }
  }
  aNow += kWindow;
  aLevel.Adapt(aNow, aInput);
  return admitted;
}

/// 64 calls per window.
constexpr double kCapacity = 64 / 0.05;
const limits::LevelInput kBusy{ 60ms, 50, 10ms, kCapacity, false };
const limits::LevelInput kCalm{ 0ms, 0, 10ms, kCapacity, true };

} // namespace

TEST_SUITE("limits/AdmissionLevel")
{
  TEST_CASE("admits all until overloaded")
  {
    AdmissionLevel level = *AdmissionLevel::Create({});
    core::TimePoint now = kStart;
    CHECK(level.NextAdapt() == core::TimePoint::max());
    for (int i = 0; i < 20; ++i) {
      Window(level, now, 128, Importance::Background, Importance::High, kCalm);
    }
    CHECK(level.Current() == Level{});
  }

  // A slow rise fills queues with calls that are refused later.
  TEST_CASE("rises within a few windows to what the server completes")
  {
    AdmissionLevel level = *AdmissionLevel::Create({});
    core::TimePoint now = kStart;
    unsigned admitted = 0;
    for (int i = 0; i < 5; ++i) {
      admitted =
        Window(level, now, 128, Importance::Low, Importance::High, kBusy);
    }
    // 64 of the 128 calls of high importance fit.
    CHECK(level.Current() >= Level{ Importance::High, 32 });
    CHECK(admitted <= 96);
    CHECK(admitted >= 32);
  }

  // A level above all calls would never notice the recovery.
  TEST_CASE("never refuses everything")
  {
    AdmissionLevel level = *AdmissionLevel::Create({});
    core::TimePoint now = kStart;
    limits::LevelInput stuck{ 1s, 1000, 10ms, 1, false };
    for (int i = 0; i < 200; ++i) {
      CHECK(Window(
              level, now, 128, Importance::Low, Importance::Normal, stuck) > 0);
    }
  }

  // The target for recovery is 3 s for the whole chain of calls.
  TEST_CASE("falls to admit all within 1.5 s, also without arrivals below it")
  {
    for (const bool hidden : { false, true }) {
      CAPTURE(hidden);
      AdmissionLevel level = *AdmissionLevel::Create({});
      core::TimePoint now = kStart;
      for (int i = 0; i < 20; ++i) {
        Window(
          level, now, 512, Importance::Background, Importance::High, kBusy);
      }
      CHECK(level.Current() >= Level{ Importance::High, 64 });
      const core::TimePoint ended = now;
      while (level.Current() > Level{} && now < ended + 10s) {
        // Entry nodes that know the level send only what it admits.
        Window(level,
               now,
               8,
               hidden ? Importance::High : Importance::Background,
               Importance::High,
               kCalm);
      }
      CHECK(now - ended <= 1500ms);
    }
  }

  TEST_CASE("calls refused by the queue or the server count as overload")
  {
    AdmissionLevel level = *AdmissionLevel::Create({});
    core::TimePoint now = kStart;
    for (int i = 0; i < 5; ++i) {
      for (int call = 0; call < 10; ++call) {
        level.OnQueueRefusal();
      }
      Window(level, now, 128, Importance::Low, Importance::High, kCalm);
    }
    CHECK(level.Current() > Level{});
  }
}
