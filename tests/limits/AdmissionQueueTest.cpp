#include "limits/AdmissionQueue.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::Importance;
using limits::AdmissionQueue;
using limits::AdmissionRequest;
using limits::QueueOrder;

namespace {

constexpr core::TimePoint kStart{ 1h };
const AdmissionQueue::ServiceTimes kNoTimes{};

AdmissionRequest
Make(std::uint64_t aId,
     Importance aImportance,
     core::Cohort aCohort = 0,
     std::uint32_t aDepth = 0)
{
  return { aId, aImportance, aCohort, aDepth, kStart + 10s, 1s };
}

AdmissionQueue
Queue(std::uint32_t aMax, QueueOrder aOrder = QueueOrder::OldestFirst)
{
  return *AdmissionQueue::Create({ aOrder, aMax });
}

std::vector<std::uint64_t>
PopAll(AdmissionQueue& aQueue)
{
  std::vector<std::uint64_t> ids;
  while (const auto next = aQueue.Pop()) {
    ids.push_back(next->mRequest.mId);
  }
  return ids;
}

} // namespace

TEST_SUITE("limits/AdmissionQueue")
{
  // Running shallow or unimportant calls first would waste work already done.
  TEST_CASE("runs by importance, then depth, then order")
  {
    for (const auto& [order, expected] :
         { std::pair{ QueueOrder::OldestFirst,
                      std::vector<std::uint64_t>{ 4, 3, 2, 5, 1 } },
           std::pair{ QueueOrder::NewestFirst,
                      std::vector<std::uint64_t>{ 4, 3, 5, 2, 1 } } }) {
      AdmissionQueue queue = Queue(10, order);
      queue.Push(kStart, Make(1, Importance::Low));
      queue.Push(kStart, Make(2, Importance::Normal, 0, 1));
      queue.Push(kStart, Make(3, Importance::Normal, 0, 2));
      queue.Push(kStart, Make(4, Importance::High));
      queue.Push(kStart, Make(5, Importance::Normal, 0, 1));
      CHECK(PopAll(queue) == expected);
    }
  }

  TEST_CASE("newest first only while overloaded")
  {
    AdmissionQueue queue = Queue(10, QueueOrder::NewestFirstUnderOverload);
    for (std::uint64_t id = 1; id <= 4; ++id) {
      queue.Push(kStart, Make(id, Importance::Normal));
    }
    CHECK(queue.Pop()->mRequest.mId == 1);
    queue.SetOverloaded(true);
    CHECK(queue.Pop()->mRequest.mId == 4);
    queue.SetOverloaded(false);
    CHECK(queue.Pop()->mRequest.mId == 2);
  }

  // Evicting the newest or the important calls would turn a surge of
  // unimportant requests into lost payments.
  TEST_CASE("when full evicts the least important, then the lowest cohort")
  {
    AdmissionQueue queue = Queue(3);
    CHECK_FALSE(queue.Push(kStart, Make(1, Importance::Normal, 9)));
    CHECK_FALSE(queue.Push(kStart, Make(2, Importance::Normal, 5)));
    CHECK_FALSE(queue.Push(kStart, Make(3, Importance::High, 1)));
    CHECK(queue.Push(kStart, Make(4, Importance::High, 0))->mId == 2);
    CHECK(queue.Push(kStart, Make(5, Importance::Low, 127))->mId == 5);
    CHECK(queue.Push(kStart, Make(6, Importance::High, 7))->mId == 1);
    CHECK(queue.Push(kStart, Make(7, Importance::Critical, 0))->mId == 4);
    CHECK(queue.Size() == 3);
  }

  TEST_CASE(
    "a call leaves at its max wait or when its deadline is out of reach")
  {
    struct Row
    {
      core::Duration mMaxWait;
      core::Duration mDeadline;
      core::Duration mServiceTime;
      core::Duration mExpiry;
      core::ErrorKind mKind;
    };
    for (const Row& row :
         { Row{ 100ms, 10s, 0ms, 100ms, core::ErrorKind::QueueTimeout },
           Row{ 1s, 500ms, 0ms, 500ms, core::ErrorKind::DeadlineExceeded },
           Row{ 1s, 500ms, 200ms, 300ms, core::ErrorKind::DeadlineExceeded },
           // An unbounded maximum wait must not overflow into the past.
           Row{ core::Duration::max(),
                500ms,
                0ms,
                500ms,
                core::ErrorKind::DeadlineExceeded } }) {
      AdmissionQueue queue = Queue(3);
      AdmissionQueue::ServiceTimes times{};
      times.fill(row.mServiceTime);
      queue.Push(
        kStart,
        { 1, Importance::Normal, 0, 0, kStart + row.mDeadline, row.mMaxWait });
      CHECK(queue.Expire(kStart + row.mExpiry, times).empty());
      const core::TimePoint next = queue.NextExpiry(times);
      CHECK(next == kStart + row.mExpiry + 1ns);
      const auto expired = queue.Expire(next, times);
      REQUIRE(expired.size() == 1);
      CHECK(expired.front().second == row.mKind);
      CHECK(queue.Size() == 0);
      CHECK(queue.NextExpiry(times) == core::TimePoint::max());
    }
  }

  TEST_CASE("removing a call leaves no trace in any order")
  {
    AdmissionQueue queue = Queue(3);
    queue.Push(kStart, Make(1, Importance::Normal));
    CHECK(queue.OldestArrival() == kStart);
    CHECK(queue.Remove(1)->mId == 1);
    CHECK_FALSE(queue.Remove(1));
    CHECK_FALSE(queue.Pop());
    CHECK(queue.Expire(kStart + 1h, kNoTimes).empty());
    CHECK_FALSE(queue.OldestArrival());
  }
}
