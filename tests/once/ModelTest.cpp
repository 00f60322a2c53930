#include "tests/once/StateModel.h"

#include <doctest/doctest.h>

using namespace nutmegrock::test;

TEST_SUITE("once/Model")
{
  // Covers all interleavings of send, refusal, run, response, loss, crash and
  // resend within the bounds; pauses and delays are particular interleavings.
  TEST_CASE("no interleaving runs a key twice or denies a run")
  {
    for (const Bounds& bounds :
         { Bounds{ 2, 1, 2 }, Bounds{ 3, 2, 1 }, Bounds{ 1, 2, 2 } }) {
      const Exploration result = Explore(Fault::None, bounds);
      MESSAGE("states " << result.mStates);
      CHECK(result.mRanTwice == 0);
      CHECK(result.mFalseNotRun == 0);
      CHECK(result.mDone > 0);
      CHECK(result.mStates > 1000);
    }
  }

  // Shows that the exploration detects faults.
  TEST_CASE("each protocol fault is detected")
  {
    for (const Fault fault : { Fault::SettleWithoutFence,
                               Fault::LostMeansNotRun,
                               Fault::GoneMeansFenced,
                               Fault::Takeover }) {
      const Exploration result = Explore(fault, { 2, 1, 2 });
      CAPTURE(static_cast<int>(fault));
      CHECK(result.mRanTwice > 0);
    }
  }
}
