#include "limits/Admission.h"

#include <deque>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::ErrorKind;
using core::Importance;
using limits::Admission;
using limits::AdmissionRequest;
using limits::AdmissionResult;
using limits::CallOutcomeKind;

namespace {

constexpr core::TimePoint kStart{ 1h };

Admission
Make(std::uint32_t aSlots, std::uint32_t aMaxWaiting = 100)
{
  limits::AdmissionSettings settings;
  settings.mLimit.mSlots = aSlots;
  settings.mLimit.mColdStartShare = 1;
  settings.mQueue.mMaxWaiting = aMaxWaiting;
  return *Admission::Create(settings);
}

AdmissionRequest
Call(std::uint64_t aId,
     Importance aImportance = Importance::Normal,
     core::Cohort aCohort = 0)
{
  return { aId, aImportance, aCohort, 0, kStart + 1h, 1s };
}

/// Checks after each event that no call waits while a slot is free and that
/// each call is started or refused exactly once.
class CheckedAdmission
{
public:
  explicit CheckedAdmission(Admission aAdmission)
    : mAdmission(std::move(aAdmission))
  {
  }

  void Offer(core::TimePoint aNow, const AdmissionRequest& aRequest)
  {
    mOpen.insert(aRequest.mId);
    Take(mAdmission.Offer(aNow, aRequest));
  }
  void Finish(core::TimePoint aNow,
              core::Duration aLatency,
              CallOutcomeKind aKind)
  {
    const std::uint64_t id = mRunning.front();
    mRunning.pop_front();
    Take(mAdmission.Finish(aNow, id, { aLatency, aKind }));
  }
  void Cancel(core::TimePoint aNow, std::uint64_t aId)
  {
    Take(mAdmission.Cancel(aNow, aId));
  }
  void Tick(core::TimePoint aNow) { Take(mAdmission.Tick(aNow)); }
  bool IsIdle() const { return mRunning.empty(); }
  const Admission& Get() const { return mAdmission; }

private:
  void Take(const AdmissionResult& aResult)
  {
    for (const std::uint64_t id : aResult.mToStart) {
      CHECK(mOpen.erase(id) == 1);
      mRunning.push_back(id);
    }
    for (const limits::Refusal& refusal : aResult.mRefused) {
      CHECK(mOpen.erase(refusal.mId) == 1);
      const bool delay =
        core::RowOf(refusal.mKind).mAdvice == core::RetryAdvice::Later;
      CHECK((refusal.mRetryAfter > 0ms) == delay);
    }
    CHECK(mAdmission.Waiting() == mOpen.size());
    CHECK(mAdmission.InFlight() == mRunning.size());
    if (mAdmission.Waiting() > 0) {
      CHECK(mAdmission.InFlight() >= mAdmission.Limit());
    }
  }

  Admission mAdmission;
  std::set<std::uint64_t> mOpen;
  std::deque<std::uint64_t> mRunning;
};

} // namespace

TEST_SUITE("limits/Admission")
{
  TEST_CASE("starts up to the limit, then queues, then evicts")
  {
    Admission admission = Make(2, 1);
    CHECK(admission.Offer(kStart, Call(1)).mToStart == std::vector{ 1UL });
    CHECK(admission.Offer(kStart, Call(2)).mToStart == std::vector{ 2UL });
    CHECK(admission.Offer(kStart, Call(3)) == AdmissionResult{});
    CHECK(admission.LoadPermille() == 1500);
    const AdmissionResult full =
      admission.Offer(kStart, Call(4, Importance::High));
    REQUIRE(full.mRefused.size() == 1);
    CHECK(full.mRefused.front() ==
          limits::Refusal{ 3, ErrorKind::QueueFull, 0ms });
    const AdmissionResult next =
      admission.Finish(kStart + 5ms, 1, { 5ms, CallOutcomeKind::Ok });
    CHECK(next.mToStart == std::vector{ 4UL });
    // A second report for the same call must not free a second slot.
    CHECK(admission.Finish(kStart + 5ms, 1, { 5ms, CallOutcomeKind::Ok }) ==
          AdmissionResult{});
    CHECK(admission.InFlight() == 2);
  }

  TEST_CASE("a call is refused when it cannot be served in time")
  {
    Admission admission = Make(1);
    for (std::uint64_t id = 1; id <= 50; ++id) {
      admission.Offer(kStart, Call(id));
      admission.Finish(kStart, id, { 100ms, CallOutcomeKind::Ok });
    }
    AdmissionRequest late = Call(100);
    late.mDeadline = kStart + 50ms;
    const AdmissionResult refused = admission.Offer(kStart, late);
    REQUIRE(refused.mRefused.size() == 1);
    CHECK(refused.mRefused.front().mKind == ErrorKind::DeadlineExceeded);

    admission.Offer(kStart, Call(101));
    AdmissionRequest waits = Call(102);
    waits.mMaxWait = 30ms;
    admission.Offer(kStart, waits);
    const core::TimePoint due = admission.NextTick(kStart);
    CHECK(due <= kStart + 30ms + 1ns);
    const AdmissionResult timeout = admission.Tick(kStart + 31ms);
    REQUIRE(timeout.mRefused.size() == 1);
    CHECK(timeout.mRefused.front().mKind == ErrorKind::QueueTimeout);
  }

  // An estimate above every deadline would refuse all calls, so that no call
  // could correct it.
  TEST_CASE("recovers from a service time above all deadlines")
  {
    Admission admission = Make(1);
    for (std::uint64_t id = 1; id <= 50; ++id) {
      admission.Offer(kStart, Call(id));
      admission.Finish(kStart, id, { 500ms, CallOutcomeKind::Ok });
    }
    bool started = false;
    for (auto wait = 0ms; wait < 3s && !started; wait += 50ms) {
      AdmissionRequest call =
        Call(1000 + static_cast<std::uint64_t>(wait.count()));
      call.mDeadline = kStart + wait + 100ms;
      started = !admission.Offer(kStart + wait, call).mToStart.empty();
    }
    CHECK(started);
  }

  TEST_CASE(
    "cancelling a waiting call refuses it, one in flight keeps its slot")
  {
    Admission admission = Make(1);
    admission.Offer(kStart, Call(1));
    admission.Offer(kStart, Call(2));
    const AdmissionResult waiting = admission.Cancel(kStart, 2);
    REQUIRE(waiting.mRefused.size() == 1);
    CHECK(waiting.mRefused.front().mKind == ErrorKind::Cancelled);
    CHECK(admission.Cancel(kStart, 1) == AdmissionResult{});
    CHECK(admission.InFlight() == 1);
    CHECK(admission.Cancel(kStart, 77) == AdmissionResult{});
  }

  // For any order of events slots stay in use and each call gets one decision.
  TEST_CASE("slots are always in use while calls wait")
  {
    for (const unsigned seed : { 1U, 2U, 3U }) {
      std::mt19937 random(seed);
      CheckedAdmission checked(Make(8, 20));
      core::TimePoint now = kStart;
      for (std::uint64_t id = 1; id < 8000; ++id) {
        now += std::chrono::microseconds(random() % 3000);
        AdmissionRequest call = Call(id,
                                     static_cast<Importance>(random() % 5),
                                     static_cast<core::Cohort>(random() % 128));
        call.mDeadline = now + std::chrono::milliseconds(random() % 200);
        call.mMaxWait = std::chrono::milliseconds(random() % 50);
        checked.Offer(now, call);
        if (random() % 4 == 0) {
          checked.Cancel(now, id - random() % 5);
        }
        if (random() % 8 == 0) {
          checked.Tick(now);
        }
        if (random() % 3 != 0 && !checked.IsIdle()) {
          checked.Finish(now,
                         std::chrono::milliseconds(1 + random() % 30),
                         static_cast<CallOutcomeKind>(random() % 5));
        }
      }
    }
  }

  // Payments, reservations and dispatches are shed last (invariant I2), even if
  // they alone exceed the capacity.
  TEST_CASE("important calls are shed last")
  {
    for (const double importantLoad : { 0.5, 2.0 }) {
      CAPTURE(importantLoad);
      Admission admission = Make(10);
      // Capacity is 1000 calls/s; unimportant requests are 2 times that. The
      // first second, in which the level adapts, is excluded.
      const auto perSecond =
        static_cast<std::uint64_t>(1000 * (2 + importantLoad));
      std::mt19937 random(5);
      std::deque<std::pair<core::TimePoint, std::uint64_t>> running;
      std::array<unsigned, 5> offered{};
      std::array<unsigned, 5> started{};
      std::vector<Importance> importances(1);
      const auto apply = [&](core::TimePoint aNow, const AdmissionResult& aR) {
        for (const std::uint64_t id : aR.mToStart) {
          running.emplace_back(aNow + 10ms, id);
          if (id > perSecond) {
            ++started.at(static_cast<std::size_t>(importances.at(id)));
          }
        }
      };
      const core::Duration gap = core::Duration(1s) / perSecond;
      core::TimePoint now = kStart;
      for (std::uint64_t id = 1; id < 20000; ++id) {
        now += gap;
        while (!running.empty() && running.front().first <= now) {
          const auto [end, done] = running.front();
          running.pop_front();
          apply(end,
                admission.Finish(end, done, { 10ms, CallOutcomeKind::Ok }));
        }
        const bool important = random() % perSecond >= 2000;
        const auto importance =
          important ? Importance::High : static_cast<Importance>(random() % 3);
        importances.push_back(importance);
        if (id > perSecond) {
          ++offered.at(static_cast<std::size_t>(importance));
        }
        AdmissionRequest call =
          Call(id, importance, static_cast<core::Cohort>(random() % 128));
        call.mMaxWait = 200ms;
        call.mDeadline = now + 1s;
        apply(now, admission.Offer(now, call));
      }
      const double high = static_cast<double>(started.at(3)) / offered.at(3);
      const unsigned other = started.at(0) + started.at(1) + started.at(2);
      const unsigned all = offered.at(0) + offered.at(1) + offered.at(2);
      if (importantLoad < 1) {
        CHECK(high >= 0.99);
      } else {
        // Half of the important calls fit, and take nearly all slots.
        CHECK(high >= 0.45);
        CHECK(other < 0.02 * all);
      }
    }
  }
}
