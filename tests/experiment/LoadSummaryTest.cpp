#include "experiment/LoadSummary.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace nutmegrock::experiment;
using doctest::Approx;

namespace {

OperationRecord
Record(std::size_t aKind, double aArrival, bool aCompleted)
{
  OperationRecord record;
  record.mKind = aKind;
  record.mArrival = aArrival;
  record.mLatency = 0.1;
  record.mOutcome = aCompleted ? OutcomeKind::Completed : OutcomeKind::Refused;
  record.mReason = aCompleted ? "" : "level_too_low";
  record.mSends = 3;
  return record;
}

const std::vector<RequestKind> kKinds{
  { "look", "s", "p", Plan{}, 0.5, false, 0 },
  { "pay", "s", "p", Plan{}, 0.5, true, 0 }
};

} // namespace

TEST_SUITE("experiment/LoadSummary")
{
  TEST_CASE("offered requests count by arrival, goodput by completion")
  {
    const LoadSummary summary(kKinds,
                              { Record(0, 0.9, true),
                                Record(0, 1.0, true),
                                Record(0, 2.9, false),
                                Record(0, 3.0, true) },
                              1.0,
                              3.0);
    CHECK(summary.Offered() == 2);
    CHECK(summary.Completed() == 1);
    // The requests that arrived at 0.9 s and 1.0 s completed in the window.
    CHECK(summary.Goodput() == Approx(1.0));
    CHECK(summary.Kinds()[0].mReasons.at("level_too_low") == 1);
    CHECK(summary.Kinds()[0].mResends == 4);
    // A backlog completed after the end of the load is not goodput.
    OperationRecord late = Record(0, 1.5, true);
    late.mLatency = 2.0;
    CHECK(LoadSummary(kKinds, { late }, 1.0, 3.0).Goodput() == Approx(0.0));
  }

  // Important requests may fail while all unimportant ones are shed.
  TEST_CASE(
    "important work is evaluated only while unimportant work is admitted")
  {
    const LoadSummary summary(kKinds,
                              { Record(1, 0.1, false),
                                Record(0, 0.2, false),
                                Record(1, 0.6, true),
                                Record(1, 0.7, false),
                                Record(0, 0.8, true) },
                              0.0,
                              1.0);
    CHECK(summary.ImportantCompleted() == Approx(0.5));
    CHECK(summary.CompletedShare(true) == Approx(1.0 / 3));
  }

  TEST_CASE("recovery ends at the last time below the required share")
  {
    struct Case
    {
      double mGoodAgain;
      double mRelapse;
      double mExpected;
    };
    for (const Case& c : { Case{ 10.0, 99.0, 0.0 },
                           Case{ 12.0, 99.0, 2.0 },
                           Case{ 12.0, 15.0, 6.0 },
                           Case{ 99.0, 99.0, INFINITY } }) {
      std::vector<OperationRecord> records;
      for (int i = 0; i < 2000; ++i) {
        const double arrival = i * 0.01;
        const bool relapsed =
          arrival >= c.mRelapse && arrival < c.mRelapse + 1.0;
        const bool good =
          arrival < 5.0 || (arrival >= c.mGoodAgain && !relapsed);
        records.push_back(Record(0, arrival, good));
      }
      const double seconds =
        RecoverySeconds(records, 0.0, 5.0, 10.0, 20.0, 0.95);
      if (std::isinf(c.mExpected)) {
        CHECK(std::isinf(seconds));
      } else {
        CHECK(seconds == Approx(c.mExpected).epsilon(0.05));
      }
    }
  }
}
