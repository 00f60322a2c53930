#include "tests/once/StateModel.h"

#include <doctest/doctest.h>

using namespace nutmegrock::test;

TEST_SUITE("once/Model")
{
  // All interleavings of send, refusal, run, answer, loss, crash and resend
  // within the bounds; pauses and delays are orders among them.
  TEST_CASE("no order of events runs a key twice or denies a run")
  {
    for (const Bounds& bounds :
         { Bounds{ 2, 1, 2 }, Bounds{ 3, 2, 1 }, Bounds{ 1, 2, 2 } }) {
      const Exploration found = Explore(Fault::None, bounds);
      MESSAGE("worlds " << found.mWorlds);
      CHECK(found.mRanTwice == 0);
      CHECK(found.mFalseNotRun == 0);
      CHECK(found.mDone > 0);
      CHECK(found.mWorlds > 1000);
    }
  }

  // An exploration that cannot fail would prove nothing.
  TEST_CASE("each broken variant is caught")
  {
    for (const Fault fault : { Fault::SettleWithoutFence,
                               Fault::LostMeansNotRun,
                               Fault::GoneMeansFenced,
                               Fault::Takeover }) {
      const Exploration found = Explore(fault, { 2, 1, 2 });
      CAPTURE(static_cast<int>(fault));
      CHECK(found.mRanTwice > 0);
    }
  }
}
