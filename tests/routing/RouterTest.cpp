#include "routing/Router.h"
#include "gateway/RouterDefaults.h"

#include <doctest/doctest.h>
#include <map>
#include <string>
#include <thread>

using namespace nutmegrock;
using namespace std::chrono_literals;
using core::ErrorKind;
using core::Incarnation;
using routing::AttemptOutcome;
using routing::Candidate;
using routing::CandidateState;
using routing::Router;

namespace {

constexpr core::TimePoint kNow{ 1h };

Candidate
Server(std::uint64_t aId,
       const std::string& aZone = "a",
       CandidateState aState = CandidateState::Serving,
       std::uint32_t aSlots = 10)
{
  return { Incarnation{ aId },
           { "10.0.0.1", static_cast<std::uint16_t>(aId) },
           aZone,
           aSlots,
           aState,
           kNow - 1h };
}

std::uint64_t
HashOf(std::uint64_t aRequest)
{
  return aRequest * 0x9e3779b97f4a7c15ULL;
}

/// Share of 2000 requests from aZone that each server gets.
std::map<std::uint64_t, double>
Shares(Router& aRouter,
       const std::string& aZone = "a",
       core::TimePoint aNow = kNow)
{
  std::map<std::uint64_t, double> shares;
  for (std::uint64_t request = 1; request <= 2000; ++request) {
    const auto choice =
      aRouter.Choose(aNow, "till", HashOf(request), aZone, {});
    REQUIRE(choice.has_value());
    shares[choice->mIncarnation.mBits] += 1.0 / 2000;
  }
  return shares;
}

void
Attempt(Router& aRouter,
        std::uint64_t aServer,
        AttemptOutcome aOutcome,
        core::TimePoint aNow = kNow,
        core::Duration aLatency = 10ms)
{
  aRouter.OnStart(aNow - aLatency, Incarnation{ aServer });
  aRouter.OnEnd(aNow, Incarnation{ aServer }, aOutcome, aLatency, nullptr);
}

} // namespace

TEST_SUITE("routing/Router")
{
  TEST_CASE("unknown services and services without a usable server fail")
  {
    const auto router = *Router::Create({});
    const auto unknown = router->Choose(kNow, "till", 1, "a", {});
    REQUIRE_FALSE(unknown.has_value());
    CHECK(unknown.error().mKind == ErrorKind::UnknownService);

    for (const CandidateState state : { CandidateState::Starting,
                                        CandidateState::Draining,
                                        CandidateState::Left }) {
      router->Update(kNow, "till", { Server(1, "a", state) });
      const auto none = router->Choose(kNow, "till", 1, "a", {});
      REQUIRE_FALSE(none.has_value());
      CHECK(none.error().mKind == ErrorKind::NoBackendServer);
    }

    router->Update(kNow, "till", { Server(1), Server(2) });
    const std::array one{ Incarnation{ 1 } };
    const std::array both{ Incarnation{ 1 }, Incarnation{ 2 } };
    CHECK(router->Choose(kNow, "till", 1, "a", one)->mIncarnation.mBits == 2);
    CHECK(router->Available(kNow, "till", one) == 1);
    CHECK_FALSE(router->Choose(kNow, "till", 1, "a", both).has_value());
    router->Update(kNow, "till", {});
    CHECK(router->Choose(kNow, "till", 1, "a", {}).error().mKind ==
          ErrorKind::UnknownService);
  }

  // Resends through different entry nodes must reach the same server, so that a
  // copy of a request in flight joins it instead of running again.
  TEST_CASE("equal requests reach the same server from any node")
  {
    const auto one = *Router::Create({});
    const auto two = *Router::Create({});
    one->Update(kNow, "till", { Server(1), Server(2), Server(3), Server(4) });
    two->Update(kNow, "till", { Server(4), Server(2), Server(1), Server(3) });
    for (std::uint64_t request = 1; request < 500; ++request) {
      const auto hash = HashOf(request);
      CHECK(one->Choose(kNow, "till", hash, "a", {}) ==
            two->Choose(kNow, "till", hash, "a", {}));
    }
    // A server that joins only takes over requests, it does not move others.
    two->Update(
      kNow, "till", { Server(1), Server(2), Server(3), Server(4), Server(5) });
    for (std::uint64_t request = 1; request < 500; ++request) {
      const auto hash = HashOf(request);
      const auto after = two->Choose(kNow, "till", hash, "a", {});
      if (after->mIncarnation.mBits != 5) {
        CHECK(one->Choose(kNow, "till", hash, "a", {}) == after);
      }
    }
  }

  TEST_CASE("requests are spread by slots")
  {
    const auto router = *Router::Create({});
    router->Update(kNow,
                   "till",
                   { Server(1, "a", CandidateState::Serving, 30),
                     Server(2, "a", CandidateState::Serving, 10) });
    auto shares = Shares(*router);
    CHECK(shares[1] == doctest::Approx(0.75).epsilon(0.1));
  }

  // A zone with the same load has no spare capacity, and traffic between zones
  // is billed.
  TEST_CASE("the own zone is preferred while the others are equally loaded")
  {
    for (const auto& [load, local] : { std::pair{ 0U, 1.0 },
                                       std::pair{ 850U, 1.0 },
                                       std::pair{ 1000U, 1.0 } }) {
      const auto router = *Router::Create({});
      router->Update(kNow, "till", { Server(1, "a"), Server(2, "b") });
      const core::CallFeedback feedback{ {}, {}, load, 0, 0 };
      for (const std::uint64_t id : { 1U, 2U }) {
        router->OnStart(kNow, Incarnation{ id });
        router->OnEnd(
          kNow, Incarnation{ id }, AttemptOutcome::Ok, 1ms, &feedback);
      }
      auto shares = Shares(*router);
      CHECK(shares[1] == doctest::Approx(local).epsilon(0.1));
      // Requests from a zone without servers use the others.
      CHECK(Shares(*router, "c").size() == 2);
    }
  }

  TEST_CASE("the less loaded of the two is taken, by own calls before reports")
  {
    const auto router = *Router::Create({});
    router->Update(kNow, "till", { Server(1), Server(2) });
    for (int i = 0; i < 8; ++i) {
      router->OnStart(kNow, Incarnation{ 1 });
    }
    CHECK(Shares(*router)[2] == doctest::Approx(1));
    // A report of no load at server 1 does not outweigh the calls in flight.
    const core::CallFeedback idle{ {}, {}, 0, 0, 0 };
    router->OnStart(kNow, Incarnation{ 1 });
    router->OnEnd(kNow, Incarnation{ 1 }, AttemptOutcome::Ok, 0ms, &idle);
    CHECK(Shares(*router)[2] == doctest::Approx(1));
  }

  // Guards against issue 26: a server whose runs wait for an overloaded service
  // reports little load, and got as many requests as a free one.
  TEST_CASE("requests do not pile up at a server that is full of waiting calls")
  {
    struct Report
    {
      std::uint32_t mLoad;
      std::uint32_t mOccupancy;
    };
    // Share of requests that server 2 gets.
    const auto share = [](const Report& aFirst, const Report& aSecond) {
      const auto router = *Router::Create({});
      router->Update(kNow, "till", { Server(1), Server(2) });
      for (const auto& [id, report] :
           { std::pair{ 1U, aFirst }, std::pair{ 2U, aSecond } }) {
        core::CallFeedback feedback;
        feedback.mLoadPermille = report.mLoad;
        feedback.mOccupancyPermille = report.mOccupancy;
        router->OnStart(kNow, Incarnation{ id });
        router->OnEnd(
          kNow, Incarnation{ id }, AttemptOutcome::Ok, 1ms, &feedback);
      }
      return Shares(*router)[2];
    };
    CHECK(share({ 500, 1800 }, { 500, 500 }) == doctest::Approx(1));
    CHECK(share({ 500, 500 }, { 500, 1800 }) == 0);
    CHECK(share({ 500, 1800 }, { 500, 1800 }) ==
          doctest::Approx(0.5).epsilon(0.1));
    // Neither value hides the other.
    CHECK(share({ 1800, 0 }, { 500, 500 }) == doctest::Approx(1));
  }

  // The member table lags behind a server that leaves (invariant I6).
  TEST_CASE("a server that refused a call as leaving is excluded, not ejected")
  {
    const auto router = *Router::Create({});
    router->Update(kNow, "till", { Server(1), Server(2) });
    Attempt(*router, 1, AttemptOutcome::Unavailable);
    CHECK(Shares(*router)[2] == doctest::Approx(1));
    CHECK(router->Ejections().mEjected == 0);
    // Known servers keep what was observed about them over an update.
    router->Update(kNow, "till", { Server(1), Server(2), Server(3) });
    CHECK(Shares(*router)[1] == 0.0);
    CHECK(router->Available(kNow, "till", {}) == 2);
    CHECK(router->Available(kNow + 6s, "till", {}) == 3);
  }

  // Guards against a service without servers for 5 s after the replacement of
  // its only one: an answer had said that the server before it leaves.
  TEST_CASE("a server that is announced anew is not excluded for a leave")
  {
    const auto router = *Router::Create({});
    Candidate leaving = Server(1);
    leaving.mState = CandidateState::Draining;
    router->Update(kNow, "till", { Server(1) });
    Attempt(*router, 1, AttemptOutcome::Unavailable);
    CHECK(router->Available(kNow, "till", {}) == 0);
    // The member table still has the state before the leave.
    router->Update(kNow, "till", { Server(1) });
    CHECK(router->Available(kNow, "till", {}) == 0);
    router->Update(kNow, "till", { leaving });
    CHECK(router->Available(kNow, "till", {}) == 0);
    // A response from before the replacement.
    Attempt(*router, 1, AttemptOutcome::Unavailable);
    router->Update(kNow, "till", { Server(1) });
    CHECK(router->Available(kNow, "till", {}) == 1);
  }

  TEST_CASE("a new server gets its share over 10 s")
  {
    const auto router = *Router::Create({});
    Candidate fresh = Server(2);
    fresh.mJoined = kNow;
    router->Update(kNow, "till", { Server(1), fresh });
    CHECK(Shares(*router, "a", kNow)[2] < 0.15);
    CHECK(Shares(*router, "a", kNow + 5s)[2] ==
          doctest::Approx(0.55 / 1.55).epsilon(0.1));
    CHECK(Shares(*router, "a", kNow + 10s)[2] ==
          doctest::Approx(0.5).epsilon(0.1));
  }

  // A bad release must not leave a service without servers.
  TEST_CASE("at most half of a service is ejected when all of it fails")
  {
    const auto router = *Router::Create({});
    router->Update(
      kNow, "till", { Server(1), Server(2), Server(3), Server(4) });
    core::TimePoint now = kNow;
    for (int i = 0; i < 100; ++i) {
      for (std::uint64_t id = 1; id <= 4; ++id) {
        Attempt(*router, id, AttemptOutcome::Failed, now += 1ms);
      }
    }
    CHECK(router->Ejections().mEjected <= 2);
    CHECK(router->Choose(now, "till", 1, "a", {}).has_value());
  }

  // Guards against ejected servers that do not return to a node of a large
  // fleet, which has few requests of its own: with one probe in 25 requests of
  // the service, ten servers without a fault were left out for over ten
  // seconds.
  TEST_CASE("many ejected servers return soon at a node with few requests")
  {
    const auto router = *Router::Create({});
    std::vector<Candidate> servers;
    for (std::uint64_t id = 1; id <= 32; ++id) {
      servers.push_back(Server(id));
    }
    router->Update(kNow, "till", servers);
    core::TimePoint now = kNow;
    for (std::uint64_t id = 11; id <= 32; ++id) {
      Attempt(*router, id, AttemptOutcome::Ok);
    }
    for (std::uint64_t id = 1; id <= 10; ++id) {
      for (int i = 0; i < 5; ++i) {
        Attempt(*router, id, AttemptOutcome::Failed);
      }
    }
    REQUIRE(router->Ejections().mEjected == 10);
    for (std::uint64_t request = 1; request <= 200; ++request) {
      now += 25ms;
      const auto choice = router->Choose(now, "till", HashOf(request), "a", {});
      REQUIRE(choice.has_value());
      Attempt(*router, choice->mIncarnation.mBits, AttemptOutcome::Ok, now);
    }
    CHECK(router->Ejections().mEjected == 0);
  }

  TEST_CASE("an ejected server is used when nothing else is left")
  {
    const auto router = *Router::Create({});
    router->Update(kNow, "till", { Server(1), Server(2) });
    for (int i = 0; i < 5; ++i) {
      Attempt(*router, 1, AttemptOutcome::Failed);
    }
    REQUIRE(router->Ejections().mEjected == 1);
    const std::array other{ Incarnation{ 2 } };
    CHECK(router->Choose(kNow, "till", 1, "a", other)->mIncarnation.mBits == 1);
  }

  TEST_CASE("attempts at removed servers are ignored")
  {
    const auto router = *Router::Create({});
    Attempt(*router, 77, AttemptOutcome::Failed);
    router->Update(kNow, "till", { Server(1) });
    router->OnStart(kNow, Incarnation{ 1 });
    router->Update(kNow, "till", { Server(2) });
    router->OnEnd(kNow, Incarnation{ 1 }, AttemptOutcome::Ok, 1ms, nullptr);
    CHECK(Shares(*router)[2] == doctest::Approx(1));
    routing::RouterSettings never;
    never.mRequestsPerProbe = 0;
    CHECK_FALSE(Router::Create(never).has_value());
  }

  // To be run with -fsanitize=thread: nodes call from all their threads.
  TEST_CASE("is safe from several threads")
  {
    const auto router = *Router::Create({});
    const std::vector<std::string> services{ "till", "tracker", "dispatch" };
    const auto update = [&](std::uint64_t aSalt) {
      for (std::uint64_t i = 0; i < services.size(); ++i) {
        router->Update(kNow,
                       services.at(i),
                       { Server(i * 10 + 1),
                         Server(i * 10 + 2 + aSalt % 2),
                         Server(i * 10 + 5) });
      }
    };
    update(0);
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (std::uint64_t thread = 0; thread < 4; ++thread) {
      threads.emplace_back([&, thread] {
        for (std::uint64_t i = 0; i < 3000; ++i) {
          const std::string& service = services.at(i % 3);
          const auto choice =
            router->Choose(kNow, service, HashOf(i * 4 + thread), "a", {});
          if (choice) {
            Attempt(*router, choice->mIncarnation.mBits, AttemptOutcome::Ok);
          }
          if (i % 500 == 0) {
            update(i / 500 + thread);
            router->Ejections();
          }
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    CHECK(router->Available(kNow, "till", {}) == 3);
  }
}

namespace {

/// Share of requests that leave zone "a" when its server and that of zone "b"
/// report these loads, and the near one this occupancy, for two seconds.
double
ShareLeaving(double aNear, double aFar, double aNearOccupancy = 0)
{
  auto router = std::move(*Router::Create({}));
  core::TimePoint now{ 1h };
  const std::vector<Candidate> candidates = {
    Server(1, "a", CandidateState::Serving, 1000),
    Server(2, "b", CandidateState::Serving, 1000)
  };
  router->Update(now, "deep", candidates);
  int left = 0;
  constexpr int kRequests = 400;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    now += std::chrono::milliseconds(5);
    for (const bool near : { true, false }) {
      core::CallFeedback feedback;
      feedback.mLoadPermille =
        static_cast<std::uint32_t>(1000 * (near ? aNear : aFar));
      feedback.mOccupancyPermille =
        static_cast<std::uint32_t>(near ? 1000 * aNearOccupancy : 0);
      const Incarnation server{ near ? 1U : 2U };
      router->OnStart(now, server);
      router->OnEnd(now,
                    server,
                    AttemptOutcome::Ok,
                    std::chrono::milliseconds(20),
                    &feedback);
    }
    const auto choice =
      router->Choose(now, "deep", i * 0x9e3779b97f4a7c15ULL, "a", {});
    REQUIRE(choice.has_value());
    left += i >= kRequests / 2 && choice->mIncarnation.mBits == 2 ? 1 : 0;
  }
  return left / (kRequests / 2.0);
}

} // namespace

// A service that is equally loaded in all zones, and one that is loaded in one
// zone only. Traffic between zones is billed, so requests must not leave their
// zone without reaching a less loaded server.
TEST_CASE("requests leave their zone only for a zone that is less loaded")
{
  CHECK(ShareLeaving(0.5, 0.1) == 0);
  CHECK(ShareLeaving(0.95, 0.95) == 0);
  CHECK(ShareLeaving(1.2, 1.3) == 0);
  CHECK(ShareLeaving(1.2, 0.4) > 0.3);
}

// Guards against issue 26: runs that wait for an overloaded service fill the
// servers of a zone, and its requests left it, although that does not help them
// and traffic between zones is billed.
TEST_CASE("servers full of waiting calls do not send requests to other zones")
{
  CHECK(ShareLeaving(0.5, 0.1, 2) == 0);
  CHECK(ShareLeaving(0.5, 0.1, 9) == 0);
  CHECK(ShareLeaving(2, 0.1, 2) > 0.3);
}

// Of three servers of the deep service two run at 0.7 of the typical speed and
// one at 1.6, and the slow ones are nearly full. Ejecting a server that is
// merely slower would remove a third of the capacity.
TEST_CASE("a slower but healthy server is not ejected")
{
  std::vector<routing::EjectionReason> ejected;
  auto router = std::move(*Router::Create(
    gateway::RouterDefaults(),
    [&ejected](Incarnation, std::optional<routing::EjectionReason> aReason) {
      ejected.push_back(aReason.value_or(routing::EjectionReason::Overdue));
    }));
  core::TimePoint now{ 1h };
  router->Update(now,
                 "deep",
                 { Server(1, "a", CandidateState::Serving, 75),
                   Server(2, "b", CandidateState::Serving, 75),
                   Server(3, "c", CandidateState::Serving, 75) });
  const auto run = [&](std::uint64_t aServer, std::chrono::milliseconds aTime) {
    now += std::chrono::milliseconds(2);
    router->OnStart(now - aTime, Incarnation{ aServer });
    router->OnEnd(
      now, Incarnation{ aServer }, AttemptOutcome::Ok, aTime, nullptr);
  };
  for (int i = 0; i < 400; ++i) {
    run(1, std::chrono::milliseconds(i % 3 == 0 ? 90 : 43));
    run(2, std::chrono::milliseconds(43));
    run(3, std::chrono::milliseconds(19));
  }
  CHECK(ejected.empty());
  for (int i = 0; i < 400; ++i) {
    run(1, std::chrono::milliseconds(400));
    run(3, std::chrono::milliseconds(19));
  }
  REQUIRE(!ejected.empty());
  CHECK(ejected.front() == routing::EjectionReason::Latency);
}

// Two of three zones are overloaded. Requests must not leave a full zone for
// another full one.
TEST_CASE("requests that leave their zone go to the less loaded zone")
{
  auto router = std::move(*Router::Create(gateway::RouterDefaults()));
  core::TimePoint now{ 1h };
  router->Update(now,
                 "deep",
                 { Server(1, "a", CandidateState::Serving, 75),
                   Server(2, "b", CandidateState::Serving, 75),
                   Server(3, "c", CandidateState::Serving, 75) });
  int to_full = 0;
  int to_room = 0;
  for (std::uint64_t i = 0; i < 1200; ++i) {
    now += std::chrono::milliseconds(5);
    constexpr std::array kLoads = { 1300U, 1300U, 600U };
    for (std::size_t server = 0; server < kLoads.size(); ++server) {
      core::CallFeedback feedback;
      feedback.mLoadPermille = kLoads.at(server);
      router->OnStart(now, Incarnation{ server + 1 });
      router->OnEnd(now,
                    Incarnation{ server + 1 },
                    AttemptOutcome::Ok,
                    std::chrono::milliseconds(20),
                    &feedback);
    }
    const auto choice =
      router->Choose(now, "deep", i * 0x9e3779b97f4a7c15ULL, "a", {});
    REQUIRE(choice.has_value());
    to_full += choice->mZone == "b" ? 1 : 0;
    to_room += choice->mZone == "c" ? 1 : 0;
  }
  CHECK(to_full == 0);
  CHECK(to_room > 100);
}

// Guards against requests that leave a zone for one that is as loaded, because
// nothing was known of it, and against large bodies that leave it to save less
// time than they cost.
TEST_CASE(
  "requests leave for a zone that turns out less loaded, for their price")
{
  // Requests from a zone with a load of 1.01 that are sent to the other one,
  // whose load shows in their responses.
  const auto leaving = [](std::uint32_t aFarPermille, double aPrice) {
    auto router = std::move(*Router::Create({}));
    core::TimePoint now{ 1h };
    router->Update(now,
                   "deep",
                   { Server(1, "a", CandidateState::Serving, 100),
                     Server(2, "b", CandidateState::Serving, 100) });
    int left = 0;
    for (std::uint64_t i = 0; i < 800; ++i) {
      now += std::chrono::milliseconds(5);
      const auto choice =
        router->Choose(now, "deep", HashOf(i), "a", {}, aPrice);
      REQUIRE(choice.has_value());
      left += choice->mZone == "b" ? 1 : 0;
      core::CallFeedback feedback;
      feedback.mLoadPermille = choice->mZone == "b" ? aFarPermille : 1010;
      router->OnStart(now, choice->mIncarnation);
      router->OnEnd(now,
                    choice->mIncarnation,
                    AttemptOutcome::Ok,
                    std::chrono::milliseconds(20),
                    &feedback);
    }
    return left;
  };
  CHECK(leaving(400, 0.004) > 200);
  CHECK(leaving(1010, 0.004) < 40);
  CHECK(leaving(400, 2) == 0);
}
