#include "routing/Ejection.h"
#include "routing/Router.h"
#include "routing/SlowStart.h"

#include <array>
#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::Incarnation;
using routing::AttemptOutcome;
using routing::Ejection;
using routing::EjectionReason;

namespace {

constexpr core::TimePoint kNow{ 1h };

Ejection
Make(std::size_t aServers)
{
  Ejection ejection{ routing::EjectionSettings{} };
  std::vector<Incarnation> servers;
  for (std::size_t i = 0; i < aServers; ++i) {
    servers.push_back(Incarnation{ i + 1 });
  }
  ejection.SetServers(servers);
  return ejection;
}

/// Runs aCalls at each server, one after the other; server 0 behaves as given,
/// the others respond in 10 ms. Returns the end time.
core::TimePoint
Run(Ejection& aEjection,
    std::size_t aServers,
    int aCalls,
    const std::function<AttemptOutcome(int)>& aFirst,
    core::Duration aLatency = 10ms)
{
  core::TimePoint now = kNow;
  for (int call = 0; call < aCalls; ++call) {
    for (std::size_t server = 0; server < aServers; ++server) {
      now += 1ms;
      const auto outcome = server == 0 ? aFirst(call) : AttemptOutcome::Ok;
      const auto latency = server == 0 ? aLatency : 10ms;
      aEjection.OnStart(now - latency, server);
      aEjection.OnEnd(now, server, outcome, latency);
    }
  }
  return now;
}

} // namespace

TEST_SUITE("routing/Ejection")
{
  TEST_CASE("ejects the server that fails or is slow, with its reason")
  {
    struct Row
    {
      const char* mName;
      std::function<AttemptOutcome(int)> mOutcome;
      core::Duration mLatency;
      int mCalls;
      int mReason;
    };
    const auto ok = [](int) { return AttemptOutcome::Ok; };
    const auto always = [](AttemptOutcome aOutcome) {
      return [aOutcome](int) { return aOutcome; };
    };
    const auto often = [](int aCall) {
      return aCall % 4 != 0 ? AttemptOutcome::Failed : AttemptOutcome::Ok;
    };
    for (const Row& row : {
           Row{ "healthy", ok, 10ms, 200, -1 },
           Row{ "errors in a row", always(AttemptOutcome::Failed), 10ms, 5, 0 },
           // A server that fails immediately has the lowest load and attracts
           // calls.
           Row{ "fast errors", always(AttemptOutcome::Failed), 10us, 5, 0 },
           Row{ "time-outs", always(AttemptOutcome::TimedOut), 1s, 5, 0 },
           Row{ "three errors in four", often, 10ms, 60, 1 },
           Row{ "5 times slower", ok, 50ms, 200, 2 },
           Row{ "somewhat slower", ok, 20ms, 200, -1 },
           // A server that sheds load or leaves is healthy.
           Row{ "refusals", always(AttemptOutcome::Refused), 1ms, 200, -1 },
           Row{ "gone", always(AttemptOutcome::Unavailable), 1ms, 200, -1 },
           Row{ "cancelled", always(AttemptOutcome::Cancelled), 1s, 200, -1 },
         }) {
      CAPTURE(row.mName);
      Ejection ejection = Make(4);
      const auto now = Run(ejection, 4, row.mCalls, row.mOutcome, row.mLatency);
      CHECK(ejection.IsEjected(now, 0) == (row.mReason >= 0));
      CHECK_FALSE(ejection.IsEjected(now, 1));
      if (row.mReason >= 0) {
        CHECK(ejection.Counts().at(static_cast<std::size_t>(row.mReason)) == 1);
      }
    }
  }

  TEST_CASE("ejects a server that accepts calls and never responds")
  {
    Ejection ejection = Make(4);
    core::TimePoint now =
      Run(ejection, 4, 50, [](int) { return AttemptOutcome::Ok; });
    for (int i = 0; i < 3; ++i) {
      ejection.OnStart(now, 0);
    }
    CHECK_FALSE(ejection.IsEjected(now + 400ms, 0));
    // Another response meanwhile shows that the calls are only slow.
    ejection.OnStart(now, 0);
    ejection.OnEnd(now + 300ms, 0, AttemptOutcome::Ok, 300ms);
    CHECK_FALSE(ejection.IsEjected(now + 700ms, 0));
    CHECK(ejection.IsEjected(now + 900ms, 0));
    CHECK(ejection.Counts().at(
            static_cast<std::size_t>(EjectionReason::Overdue)) == 1);
  }

  // Guards against calls that have ended being kept as calls in flight: with
  // the queue time left out of the latency, a call that had waited was taken
  // for a later one, and a server was ejected for calls that it had answered.
  TEST_CASE("calls that waited for a slot are not overdue after their end")
  {
    Ejection ejection = Make(4);
    const core::TimePoint start =
      Run(ejection, 4, 50, [](int) { return AttemptOutcome::Ok; });
    ejection.OnStart(start, 0);
    ejection.OnStart(start, 0);
    ejection.OnStart(start + 990ms, 0);
    ejection.OnStart(start + 990ms, 0);
    for (int i = 0; i < 2; ++i) {
      ejection.OnEnd(start + 1000ms, 0, AttemptOutcome::Ok, 1000ms, 990ms);
    }
    ejection.OnStart(start + 1500ms, 0);
    ejection.OnStart(start + 1500ms, 0);
    for (int i = 0; i < 2; ++i) {
      ejection.OnEnd(start + 1505ms, 0, AttemptOutcome::Cancelled, 515ms);
    }
    CHECK_FALSE(ejection.IsEjected(start + 1600ms, 0));
    CHECK(ejection.IsEjected(start + 2100ms, 0));
  }

  // Guards against taking calls of a long route for overdue. A service also
  // runs a short route, and the median over both was the expected time of all
  // calls, so a burst of long calls ejected servers without a fault on every
  // node.
  TEST_CASE("calls of a long route are not overdue by the time of a short one")
  {
    Ejection ejection = Make(4);
    const core::TimePoint now = Run(
      ejection, 4, 50, [](int) { return AttemptOutcome::Ok; }, 2ms);
    for (int i = 0; i < 3; ++i) {
      ejection.OnStart(now, 0, 900ms);
    }
    CHECK_FALSE(ejection.IsEjected(now + 3s, 0));
    CHECK(ejection.IsEjected(now + 7'300ms, 0));
  }

  // The same when an ejected server is probed with a call of the long route.
  TEST_CASE("probes with calls of a long route let a server return")
  {
    Ejection ejection = Make(4);
    core::TimePoint now = Run(
      ejection, 4, 50, [](int) { return AttemptOutcome::Ok; }, 2ms);
    for (int i = 0; i < 5; ++i) {
      ejection.OnStart(now, 0, 900ms);
      ejection.OnEnd(now, 0, AttemptOutcome::Failed, 0ms);
    }
    REQUIRE(ejection.IsEjected(now, 0));
    now += 600ms;
    for (int i = 0; i < 2; ++i) {
      REQUIRE(ejection.IsProbeDue(now, 0));
      ejection.OnStart(now, 0, 900ms);
      now += 950ms;
      ejection.OnEnd(now, 0, AttemptOutcome::Ok, 950ms);
    }
    CHECK_FALSE(ejection.IsEjected(now, 0));
  }

  // If all servers fail alike, the cause lies elsewhere, and ejecting servers
  // would only remove capacity.
  TEST_CASE("errors common to all servers eject at most one")
  {
    Ejection ejection = Make(4);
    core::TimePoint now = kNow;
    for (int call = 0; call < 100; ++call) {
      for (std::size_t server = 0; server < 4; ++server) {
        now += 1ms;
        const bool failed = call % 10 < 6;
        ejection.OnStart(now, server);
        ejection.OnEnd(now,
                       server,
                       failed ? AttemptOutcome::Failed : AttemptOutcome::Ok,
                       1ms);
      }
    }
    CHECK(ejection.Ejected() <= 1);
  }

  TEST_CASE("a single server is never ejected, of three at most one")
  {
    for (const auto& [servers, maxEjected] :
         { std::pair{ 1U, 0U }, std::pair{ 3U, 1U }, std::pair{ 6U, 3U } }) {
      Ejection ejection = Make(servers);
      for (std::size_t server = 0; server < servers; ++server) {
        for (int i = 0; i < 20; ++i) {
          ejection.OnStart(kNow, server);
          ejection.OnEnd(kNow, server, AttemptOutcome::TimedOut, 1s);
        }
      }
      CHECK(ejection.Ejected() <= maxEjected);
    }
  }

  TEST_CASE("probes with growing backoff, and returns after successful ones")
  {
    Ejection ejection = Make(4);
    core::TimePoint now =
      Run(ejection, 4, 5, [](int) { return AttemptOutcome::Failed; });
    REQUIRE(ejection.IsEjected(now, 0));
    core::TimePoint last = now;
    for (const auto backoff : { 500ms, 1000ms, 2000ms, 2000ms }) {
      CHECK_FALSE(ejection.IsProbeDue(last + backoff - 20ms, 0));
      now = last + backoff;
      REQUIRE(ejection.IsProbeDue(now, 0));
      ejection.OnStart(now, 0);
      // One probe at a time.
      CHECK_FALSE(ejection.IsProbeDue(now, 0));
      ejection.OnEnd(now, 0, AttemptOutcome::Failed, 0ms);
      last = now;
    }
    now = last + 2s;
    for (int good = 0; good < 2; ++good) {
      CHECK(ejection.IsEjected(now, 0));
      REQUIRE(ejection.IsProbeDue(now, 0));
      ejection.OnStart(now, 0);
      ejection.OnEnd(now + 10ms, 0, AttemptOutcome::Ok, 10ms);
    }
    CHECK_FALSE(ejection.IsEjected(now, 0));
    CHECK(ejection.ReturnedAt(0) == now + 10ms);
    CHECK(ejection.Ejected() == 0);
  }

  // Through the router: the share of probes is bounded, and the server is back
  // within the 3 s allowed for recovery.
  TEST_CASE("a server that recovers is in full use again within 3 s")
  {
    const auto router = *routing::Router::Create({});
    std::vector<routing::Candidate> servers;
    for (std::uint64_t id = 1; id <= 4; ++id) {
      servers.push_back({ Incarnation{ id },
                          {},
                          "a",
                          100,
                          routing::CandidateState::Serving,
                          kNow - 1h });
    }
    router->Update(kNow, "till", servers);
    core::TimePoint now = kNow;
    std::array<int, 3> calls{};
    std::array<int, 3> atFirst{};
    for (std::uint64_t request = 1; now < kNow + 15s; ++request) {
      now += 5ms;
      const auto choice =
        router->Choose(now, "till", request * 0x9e3779b97f4a7c15ULL, "a", {});
      REQUIRE(choice.has_value());
      const bool first = choice->mIncarnation.mBits == 1;
      const bool failing = now < kNow + 10s;
      router->OnStart(now, choice->mIncarnation);
      router->OnEnd(now,
                    choice->mIncarnation,
                    first && failing ? AttemptOutcome::Failed
                                     : AttemptOutcome::Ok,
                    1ms,
                    nullptr);
      const std::size_t phase = now < kNow + 1s    ? 0U
                                : failing          ? 1U
                                : now < kNow + 13s ? 3U
                                                   : 2U;
      if (phase < 3) {
        ++calls.at(phase);
        atFirst.at(phase) += first ? 1 : 0;
      }
    }
    CHECK(atFirst[1] <= calls[1] / 25);
    CHECK(atFirst[1] > 0);
    CHECK(atFirst[2] >= 0.95 * calls[2] / 4);
  }

  TEST_CASE("slow start grows linearly to the full weight")
  {
    const routing::SlowStart slow(10s, 0.1);
    CHECK(slow.Share(kNow, kNow) == doctest::Approx(0.1));
    CHECK(slow.Share(kNow + 5s, kNow) == doctest::Approx(0.55));
    CHECK(slow.Share(kNow + 10s, kNow) == 1);
    CHECK(slow.Share(kNow, kNow + 5s) == doctest::Approx(0.1));
    CHECK(slow.Share(kNow, core::TimePoint::min()) == 1);
  }
}
