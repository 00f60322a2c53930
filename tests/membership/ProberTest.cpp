#include "membership/Prober.h"
#include "membership/Suspicions.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <set>
#include <utility>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

Member
Record(std::uint64_t aId)
{
  Member member;
  member.mIncarnation = { aId };
  member.mAddress = { "10.0.0.1", static_cast<std::uint16_t>(aId) };
  return member;
}

/// A prober among members 1 (own) to aCount, and its clock.
struct Bench
{
  explicit Bench(std::uint64_t aCount)
    : mTable(Record(1), {})
    , mProber(MembershipSettings{})
  {
    for (std::uint64_t i = 2; i <= aCount; ++i) {
      mTable.Merge(mNow,
                   { std::make_shared<const Member>(Record(i)),
                     Liveness::Alive,
                     0,
                     {},
                     {} });
    }
  }

  ProbeSteps Tick()
  {
    mNow += 100ms;
    auto steps = mProber.Tick(mNow, mTable, mRandom);
    if (!steps.mPings.empty()) {
      mPing = steps.mPings.front();
    }
    return steps;
  }
  /// The ping that the last tick sent, or else the next one. The tick that ends
  /// a probe starts the next.
  ProbeSteps::Ping NextPing()
  {
    for (int i = 0; i < 200 && !mPing; ++i) {
      Tick();
    }
    REQUIRE(mPing.has_value());
    return *std::exchange(mPing, std::nullopt);
  }
  ProbeSteps Ack(const ProbeSteps::Ping& aPing, std::uint64_t aWho)
  {
    Message ack;
    ack.mKind = MessageKind::Ack;
    ack.mSender = { aWho };
    ack.mTarget = { aWho };
    ack.mSequence = aPing.mSequence;
    return mProber.HandleAck(ack);
  }
  /// Runs one probe that gets that many negative answers and no ack.
  ProbeSteps Fail(std::size_t aNegatives)
  {
    const auto ping = NextPing();
    for (int i = 0; i < 200; ++i) {
      auto steps = Tick();
      if (steps.mFailed.IsKnown()) {
        CHECK(steps.mFailed == ping.mTarget);
        return steps;
      }
      for (std::size_t n = 0; n < aNegatives && !steps.mRequests.empty(); ++n) {
        Message negative;
        negative.mSequence = ping.mSequence;
        negative.mNegative = true;
        mProber.HandleAck(negative);
      }
    }
    FAIL("probe did not end");
    return {};
  }

  MemberTable mTable;
  Prober mProber;
  Random mRandom{ 3 };
  core::TimePoint mNow{ 1h };
  std::optional<ProbeSteps::Ping> mPing;
};

} // namespace

TEST_SUITE("membership/Prober")
{
  // Random choice without rounds could leave a member unprobed for long.
  TEST_CASE("each member is probed once a round")
  {
    Bench bench(20);
    std::map<std::uint64_t, int> probed;
    for (int i = 0; i < 3 * 19; ++i) {
      const auto ping = bench.NextPing();
      ++probed[ping.mTarget.mBits];
      bench.Ack(ping, ping.mTarget.mBits);
    }
    CHECK(probed.size() == 19);
    for (const auto& [id, times] : probed) {
      CHECK(times == 3);
    }
    CHECK(bench.mProber.Health() == 0);
  }

  TEST_CASE("an unanswered ping leads to three indirect ones, then to failure")
  {
    Bench bench(20);
    const auto ping = bench.NextPing();
    std::set<core::Address> helpers;
    for (int i = 0; i < 10; ++i) {
      const auto steps = bench.Tick();
      for (const auto& request : steps.mRequests) {
        CHECK(request.mTarget == ping.mTarget);
        CHECK(request.mTargetAddress == ping.mTo);
        CHECK(request.mHelper != ping.mTo);
        helpers.insert(request.mHelper);
      }
      CHECK(steps.mFailed.IsKnown() == (i == 9));
    }
    CHECK(helpers.size() == 3);
  }

  TEST_CASE("what an answer leads to")
  {
    Bench bench(5);
    auto ping = bench.NextPing();
    CHECK_FALSE(bench.Ack(ping, ping.mTarget.mBits).mReplaced.IsKnown());
    ping = bench.NextPing();
    // Another run answers at the address.
    CHECK(bench.Ack(ping, 99).mReplaced == ping.mTarget);
    // An ack of an earlier probe is not taken for the present one.
    const auto late = ping;
    ping = bench.NextPing();
    bench.Ack(late, ping.mTarget.mBits);
    for (int i = 0; i < 9; ++i) {
      CHECK_FALSE(bench.Tick().mFailed.IsKnown());
    }
    CHECK(bench.Tick().mFailed == ping.mTarget);
  }

  TEST_CASE("a helper passes on the answer or reports that there is none")
  {
    Bench bench(5);
    Message request;
    request.mKind = MessageKind::PingRequest;
    request.mTarget = { 3 };
    request.mTargetAddress = Record(3).mAddress;
    request.mSequence = 777;
    const core::Address from{ "10.0.0.2", 5 };
    for (const bool answered : { true, false }) {
      CAPTURE(answered);
      const auto steps = bench.mProber.Help(bench.mNow, from, request);
      REQUIRE(steps.mPings.size() == 1);
      std::vector<ProbeSteps::Relay> relays;
      if (answered) {
        relays = bench.Ack(steps.mPings.front(), 3).mRelays;
      } else {
        for (int i = 0; i < 5 && relays.empty(); ++i) {
          relays = bench.Tick().mRelays;
        }
      }
      REQUIRE(relays.size() == 1);
      CHECK(relays.front().mTo == from);
      CHECK(relays.front().mSequence == 777);
      CHECK(relays.front().mTarget.mBits == 3);
      CHECK(relays.front().mNegative == !answered);
    }
  }

  TEST_CASE("local health worsens only when own links are in doubt")
  {
    struct Case
    {
      std::size_t mNegatives;
      unsigned mHealth;
    };
    for (const Case& row : { Case{ 3, 0 }, Case{ 2, 1 }, Case{ 0, 1 } }) {
      Bench bench(20);
      bench.Fail(row.mNegatives);
      CHECK(bench.mProber.Health() == row.mHealth);
    }
    Bench bench(20);
    for (int i = 0; i < 20; ++i) {
      bench.mProber.Worsen();
    }
    CHECK(bench.mProber.Health() == MembershipSettings{}.mMaxHealth);
    const auto ping = bench.NextPing();
    bench.Ack(ping, ping.mTarget.mBits);
    CHECK(bench.mProber.Health() == MembershipSettings{}.mMaxHealth - 1);
  }

  TEST_CASE("a node whose recent probes mostly fail takes itself for isolated")
  {
    Bench bench(20);
    bench.Fail(3);
    bench.Fail(3);
    CHECK_FALSE(bench.mProber.IsIsolated());
    bench.Fail(3);
    CHECK(bench.mProber.IsIsolated());
    for (int i = 0; i < 3; ++i) {
      const auto ping = bench.NextPing();
      bench.Ack(ping, ping.mTarget.mBits);
    }
    while (bench.mProber.Ended() < 6) {
      bench.Tick();
    }
    CHECK_FALSE(bench.mProber.IsIsolated());
  }
}

TEST_SUITE("membership/Suspicions")
{
  TEST_CASE("the time shrinks with each accuser and grows with the members")
  {
    Suspicions suspicions({}, { 1 });
    CHECK(suspicions.TimeoutFor(10, 0) == 9s);
    CHECK(suspicions.TimeoutFor(10, 1) == 6s);
    CHECK(suspicions.TimeoutFor(10, 3) == 3s);
    CHECK(suspicions.TimeoutFor(100, 3) == 6s);
    CHECK(suspicions.TimeoutFor(2, 0) == 9s);
    CHECK(suspicions.Accuse({ 5 }, { 2 }, 0, 0));
    // The same accuser again is no confirmation.
    CHECK_FALSE(suspicions.Accuse({ 5 }, { 2 }, 0, 0));
    CHECK(suspicions.Accuse({ 5 }, { 3 }, 0, 0));
    CHECK(suspicions.Accuse({ 5 }, { 4 }, 0, 0));
    CHECK(suspicions.Accuse({ 5 }, { 6 }, 0, 0));
    CHECK_FALSE(suspicions.Accuse({ 5 }, { 7 }, 0, 0));
  }

  // Accusations from before a refutation must not count after it.
  TEST_CASE("a new refutation counter starts a new suspicion")
  {
    Bench bench(20);
    Suspicions suspicions({}, { 1 });
    suspicions.Accuse({ 5 }, { 2 }, 0, 0);
    suspicions.Advance(8s, 10, bench.mProber);
    suspicions.Accuse({ 5 }, { 2 }, 1, 0);
    for (int i = 0; i < 3; ++i) {
      const auto ping = bench.NextPing();
      bench.Ack(ping, ping.mTarget.mBits);
    }
    bench.NextPing();
    CHECK(suspicions.Advance(8s, 10, bench.mProber).mExpired.empty());
    CHECK(suspicions.Advance(1s, 10, bench.mProber).mExpired.size() == 1);
    CHECK(suspicions.Size() == 0);
  }

  TEST_CASE("no suspicion ends while the own probes fail")
  {
    struct Case
    {
      std::string mName;
      std::uint64_t mSucceeded;
      std::uint64_t mFailed;
      bool mExpires;
    };
    for (const Case& row : { Case{ "no probe", 0, 0, false },
                             Case{ "too few", 2, 0, false },
                             Case{ "all fail", 0, 3, false },
                             Case{ "most fail", 1, 4, false },
                             Case{ "half fail", 3, 3, true },
                             Case{ "all succeed", 3, 0, true } }) {
      CAPTURE(row.mName);
      Bench bench(20);
      Suspicions suspicions({}, { 1 });
      suspicions.Accuse({ 5 }, { 2 }, 0, bench.mProber.Ended());
      for (std::uint64_t i = 0; i < row.mSucceeded; ++i) {
        const auto ping = bench.NextPing();
        bench.Ack(ping, ping.mTarget.mBits);
        while (bench.mProber.Ended() <= i) {
          bench.Tick();
        }
      }
      // The tick that ended the last probe pinged the next target, which is
      // not answered and is the first failure.
      const std::uint64_t wanted = row.mSucceeded + row.mFailed;
      while (bench.mProber.Ended() < wanted) {
        bench.Tick();
      }
      CHECK(bench.mProber.Ended() == wanted);
      const auto time = 10s * (bench.mProber.Health() + 1);
      const auto steps = suspicions.Advance(time, 10, bench.mProber);
      CHECK(steps.mExpired.size() == (row.mExpires ? 1 : 0));
    }
  }

  // A node with bad links needs longer to hear a refutation.
  TEST_CASE("bad local health slows the timers down")
  {
    for (const unsigned health : { 0U, 1U, 8U }) {
      CAPTURE(health);
      Bench bench(20);
      for (int i = 0; i < 3; ++i) {
        const auto ping = bench.NextPing();
        bench.Ack(ping, ping.mTarget.mBits);
      }
      bench.NextPing();
      for (unsigned i = 0; i < health; ++i) {
        bench.mProber.Worsen();
      }
      Suspicions suspicions({}, { 1 });
      suspicions.Accuse({ 5 }, { 2 }, 0, 0);
      const auto time = 9s * (health + 1);
      CHECK(suspicions.Advance(time - 1s, 10, bench.mProber).mExpired.empty());
      // Dividing the times leaves less than a microsecond.
      const auto rest = 1s + 1us;
      CHECK(suspicions.Advance(rest, 10, bench.mProber).mExpired.size() == 1);
    }
  }

  TEST_CASE("an own suspect is reminded, one accused by others is not")
  {
    Bench bench(20);
    Suspicions suspicions({}, { 1 });
    suspicions.Accuse({ 5 }, { 1 }, 0, 0);
    suspicions.Accuse({ 6 }, { 2 }, 0, 0);
    CHECK(suspicions.Advance(1s, 10, bench.mProber).mReminded.empty());
    const auto reminded = suspicions.Advance(1s, 10, bench.mProber).mReminded;
    REQUIRE(reminded.size() == 1);
    CHECK(reminded.front().mBits == 5);
  }
}
