#include "overload/ShedLevel.h"

#include <cmath>
#include <deque>
#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::overload;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kStart{ std::chrono::hours(1) };

/// A service whose load follows the admitted demand with a lag.
struct FeedbackLoop
{
  ShedLevel mLevel;
  core::TimePoint mNow = kStart;
  std::deque<double> mAdmitted;

  /// Runs for aTime with a demand that leads to aLoad when all of it is
  /// admitted, a fifth of it of priority 0. Returns the mean load of the second
  /// half.
  double Run(milliseconds aTime, double aLoad, milliseconds aLag)
  {
    constexpr milliseconds kStep(50);
    const auto lag = static_cast<std::size_t>(aLag / kStep);
    double sum = 0;
    int samples = 0;
    for (milliseconds at(0); at < aTime; at += kStep) {
      mNow += kStep;
      mLevel.OnDemand(mNow, 0, 0.2 * aLoad);
      mLevel.OnDemand(mNow, 2, 0.8 * aLoad);
      mAdmitted.push_back(
        aLoad * (0.2 * mLevel.Admitted(0) + 0.8 * mLevel.Admitted(2)));
      const double load =
        mAdmitted.size() > lag ? mAdmitted[mAdmitted.size() - 1 - lag] : 0;
      mLevel.Update(mNow, load);
      if (at * 2 >= aTime) {
        sum += load;
        ++samples;
      }
    }
    return sum / samples;
  }
};

} // namespace

TEST_CASE("nothing is shed below the target")
{
  FeedbackLoop loop;
  loop.Run(milliseconds(5000), 0.8, milliseconds(300));
  CHECK(loop.mLevel.Admitted(2) == 1);
}

// A burst of 1.3, 1.5 and 2 times the capacity of the deep service, reported
// 300 ms later. Guards against an oscillation that shed three times too much.
TEST_CASE("a burst settles at the target and sheds the least important work")
{
  for (const double demand : { 1.3, 1.5, 2.0 }) {
    CAPTURE(demand);
    FeedbackLoop loop;
    loop.Run(milliseconds(3000), 0.7, milliseconds(300));
    const double load = loop.Run(milliseconds(6000), demand, milliseconds(300));
    CHECK(load > 0.80);
    CHECK(load < 1.05);
    CHECK(loop.mLevel.Admitted(0) == 1);
    CHECK(loop.mLevel.Admitted(2) < 1);
  }
}

// Refusals must not outlast the overload.
TEST_CASE(
  "everything is admitted again within three seconds of the burst's end")
{
  FeedbackLoop loop;
  loop.Run(milliseconds(6000), 2.0, milliseconds(300));
  loop.Run(milliseconds(3000), 0.8, milliseconds(300));
  CHECK(loop.mLevel.Admitted(2) == 1);
}

TEST_CASE("when even important work does not fit, it alone is admitted")
{
  FeedbackLoop loop;
  loop.Run(milliseconds(6000), 8.0, milliseconds(300));
  CHECK(loop.mLevel.Admitted(2) == 0);
  CHECK(loop.mLevel.Admitted(0) > 0.3);
  CHECK(loop.mLevel.Admitted(0) < 0.9);
}
