#include "overload/WorkTime.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using overload::WorkTime;
using std::chrono::milliseconds;

// Reports change many times per second; a server must not be avoided for one of
// them, and a lasting change must show within a second.
TEST_CASE("the work time follows the mean of the reports")
{
  core::TimePoint now{ std::chrono::hours(1) };
  WorkTime work;
  CHECK(work.Percent(now) == 100);
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(20);
    work.OnReport(now, i % 2 == 0 ? 150 : 250);
  }
  CHECK(work.Factor(now) == doctest::Approx(2).epsilon(0.05));
  work.OnReport(now + milliseconds(1), 800);
  CHECK(work.Factor(now) < 2.2);
  for (int i = 0; i < 50; ++i) {
    now += milliseconds(20);
    work.OnReport(now, 100);
  }
  CHECK(work.Factor(now) == doctest::Approx(1).epsilon(0.1));
}

// Reports are hints, and a server that stops sending them is a usual one.
TEST_CASE("wrong reports are bounded and old ones expire")
{
  core::TimePoint now{ std::chrono::hours(1) };
  WorkTime work;
  for (int i = 0; i < 100; ++i) {
    work.OnReport(now += milliseconds(50), 4'000'000'000U);
  }
  CHECK(work.Factor(now) <= 8);
  for (int i = 0; i < 100; ++i) {
    work.OnReport(now += milliseconds(50), 0);
  }
  CHECK(work.Factor(now) >= 0.4);
  CHECK(work.Percent(now + std::chrono::seconds(6)) == 100);
}
