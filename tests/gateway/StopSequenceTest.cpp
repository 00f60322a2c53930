#include "gateway/StopSequence.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::gateway;
using std::chrono::milliseconds;

namespace {

const core::TimePoint kSignal{ std::chrono::hours(1) };
constexpr std::chrono::seconds kGrace{ 6 };
constexpr milliseconds kTick{ 20 };

} // namespace

// Guards against a stopping node that exits while requests have been received
// by the system and not read yet, which cuts them off.
TEST_CASE("a stopping node exits after it has been idle twice in a row")
{
  StopSequence stop(kSignal, kGrace);
  const core::TimePoint late = kSignal + milliseconds(3'000);
  CHECK(!stop.Next(late, true).mExit);
  // A request that was in the accept queue is answered meanwhile.
  CHECK(!stop.Next(late + kTick, false).mExit);
  CHECK(!stop.Next(late + 2 * kTick, true).mExit);
  CHECK(stop.Next(late + 3 * kTick, true).mExit);
}

// Guards against callers that still send to a node which has gone.
TEST_CASE("an idle node waits until callers and nodes have switched")
{
  StopSequence stop(kSignal, kGrace);
  for (milliseconds at(0); at <= milliseconds(2'600); at += kTick) {
    const StopActions actions = stop.Next(kSignal + at, true);
    CHECK(!actions.mExit);
    CHECK(actions.mAnnounceLeave == (at > milliseconds(2'100)));
    CHECK(actions.mRefuseWork == (at > milliseconds(2'500)));
  }
  CHECK(stop.Next(kSignal + milliseconds(2'620), true).mExit);
}

// Guards against requests in flight that are cut off without a response when
// the time to stop is over, and against a process that is killed.
TEST_CASE("requests still in flight are answered before the node exits in time")
{
  StopSequence stop(kSignal, kGrace);
  milliseconds answered(0);
  milliseconds exited(0);
  for (milliseconds at(0); at < kGrace && exited.count() == 0; at += kTick) {
    const StopActions actions = stop.Next(kSignal + at, false);
    answered = answered.count() == 0 && actions.mAnswerAll ? at : answered;
    exited = actions.mExit ? at : exited;
  }
  CHECK(answered.count() > 0);
  CHECK(exited - answered >= milliseconds(200));
  CHECK(exited <= kGrace - milliseconds(100));
}

TEST_CASE("requests that could not finish any more are refused")
{
  StopSequence stop(kSignal, kGrace);
  CHECK(!stop.Next(kSignal + milliseconds(2'900), false).mRefuseRequests);
  CHECK(stop.Next(kSignal + milliseconds(3'100), false).mRefuseRequests);
}
