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

/// A prober of member 1 in a mesh of members 1 to aCount, and its clock.
struct Fixture
{
  explicit Fixture(std::uint64_t aCount)
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
  /// Returns the ping that the last tick sent, or else the next one. The tick
  /// that ends a probe also starts the next.
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
  /// Runs one probe that receives aNegatives negative acks and no positive one.
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
  // A random choice without rounds could leave a member unprobed for a long
  // time.
  TEST_CASE("each member is probed once a round")
  {
    Fixture fixture(20);
    std::map<std::uint64_t, int> probed;
    for (int i = 0; i < 3 * 19; ++i) {
      const auto ping = fixture.NextPing();
      ++probed[ping.mTarget.mBits];
      fixture.Ack(ping, ping.mTarget.mBits);
    }
    CHECK(probed.size() == 19);
    for (const auto& [id, times] : probed) {
      CHECK(times == 3);
    }
    CHECK(fixture.mProber.HealthScore() == 0);
  }

  TEST_CASE("an unanswered ping leads to three indirect ones, then to failure")
  {
    Fixture fixture(20);
    const auto ping = fixture.NextPing();
    std::set<core::Address> helpers;
    for (int i = 0; i < 10; ++i) {
      const auto steps = fixture.Tick();
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

  TEST_CASE("an ack ends the probe only if it belongs to it")
  {
    Fixture fixture(5);
    auto ping = fixture.NextPing();
    CHECK_FALSE(fixture.Ack(ping, ping.mTarget.mBits).mReplaced.IsKnown());
    ping = fixture.NextPing();
    // Another incarnation responds at the address.
    CHECK(fixture.Ack(ping, 99).mReplaced == ping.mTarget);
    // An ack of an earlier probe does not count for the current one.
    const auto late = ping;
    ping = fixture.NextPing();
    fixture.Ack(late, ping.mTarget.mBits);
    for (int i = 0; i < 9; ++i) {
      CHECK_FALSE(fixture.Tick().mFailed.IsKnown());
    }
    CHECK(fixture.Tick().mFailed == ping.mTarget);
  }

  TEST_CASE("a helper relays the ack or sends a negative one")
  {
    Fixture fixture(5);
    Message request;
    request.mKind = MessageKind::PingRequest;
    request.mTarget = { 3 };
    request.mTargetAddress = Record(3).mAddress;
    request.mSequence = 777;
    const core::Address from{ "10.0.0.2", 5 };
    for (const bool answered : { true, false }) {
      CAPTURE(answered);
      const auto steps =
        fixture.mProber.StartIndirectProbe(fixture.mNow, from, request);
      REQUIRE(steps.mPings.size() == 1);
      std::vector<ProbeSteps::Relay> relays;
      if (answered) {
        relays = fixture.Ack(steps.mPings.front(), 3).mRelays;
      } else {
        for (int i = 0; i < 5 && relays.empty(); ++i) {
          relays = fixture.Tick().mRelays;
        }
      }
      REQUIRE(relays.size() == 1);
      CHECK(relays.front().mTo == from);
      CHECK(relays.front().mSequence == 777);
      CHECK(relays.front().mTarget.mBits == 3);
      CHECK(relays.front().mNegative == !answered);
    }
  }

  TEST_CASE(
    "the health score rises only if the links of this node are in doubt")
  {
    struct Case
    {
      std::size_t mNegatives;
      unsigned mHealthScore;
    };
    for (const Case& row : { Case{ 3, 0 }, Case{ 2, 1 }, Case{ 0, 1 } }) {
      Fixture fixture(20);
      fixture.Fail(row.mNegatives);
      CHECK(fixture.mProber.HealthScore() == row.mHealthScore);
    }
    Fixture fixture(20);
    for (int i = 0; i < 20; ++i) {
      fixture.mProber.IncrementHealthScore();
    }
    CHECK(fixture.mProber.HealthScore() ==
          MembershipSettings{}.mMaxHealthScore);
    const auto ping = fixture.NextPing();
    fixture.Ack(ping, ping.mTarget.mBits);
    CHECK(fixture.mProber.HealthScore() ==
          MembershipSettings{}.mMaxHealthScore - 1);
  }

  TEST_CASE("a node whose recent probes mostly fail considers itself isolated")
  {
    Fixture fixture(20);
    fixture.Fail(3);
    fixture.Fail(3);
    CHECK_FALSE(fixture.mProber.IsIsolated());
    fixture.Fail(3);
    CHECK(fixture.mProber.IsIsolated());
    for (int i = 0; i < 3; ++i) {
      const auto ping = fixture.NextPing();
      fixture.Ack(ping, ping.mTarget.mBits);
    }
    while (fixture.mProber.EndedProbes() < 6) {
      fixture.Tick();
    }
    CHECK_FALSE(fixture.mProber.IsIsolated());
  }
}

TEST_SUITE("membership/Suspicions")
{
  TEST_CASE("the timeout shrinks with accusers and grows with members")
  {
    Suspicions suspicions({}, { 1 });
    CHECK(suspicions.TimeoutFor(10, 0) == 9s);
    CHECK(suspicions.TimeoutFor(10, 1) == 6s);
    CHECK(suspicions.TimeoutFor(10, 3) == 3s);
    CHECK(suspicions.TimeoutFor(100, 3) == 6s);
    CHECK(suspicions.TimeoutFor(2, 0) == 9s);
    CHECK(suspicions.Accuse({ 5 }, { 2 }, 0, 0));
    // A repeated accusation by the same member is no confirmation.
    CHECK_FALSE(suspicions.Accuse({ 5 }, { 2 }, 0, 0));
    CHECK(suspicions.Accuse({ 5 }, { 3 }, 0, 0));
    CHECK(suspicions.Accuse({ 5 }, { 4 }, 0, 0));
    CHECK(suspicions.Accuse({ 5 }, { 6 }, 0, 0));
    CHECK_FALSE(suspicions.Accuse({ 5 }, { 7 }, 0, 0));
  }

  // Accusations from before a refutation must not count after it.
  TEST_CASE("a new refutation counter starts a new suspicion")
  {
    Fixture fixture(20);
    Suspicions suspicions({}, { 1 });
    suspicions.Accuse({ 5 }, { 2 }, 0, 0);
    suspicions.Advance(8s, 10, fixture.mProber);
    suspicions.Accuse({ 5 }, { 2 }, 1, 0);
    for (int i = 0; i < 3; ++i) {
      const auto ping = fixture.NextPing();
      fixture.Ack(ping, ping.mTarget.mBits);
    }
    fixture.NextPing();
    CHECK(suspicions.Advance(8s, 10, fixture.mProber).mExpired.empty());
    CHECK(suspicions.Advance(1s, 10, fixture.mProber).mExpired.size() == 1);
    CHECK(suspicions.Size() == 0);
  }

  TEST_CASE("no suspicion ends while the probes by this node fail")
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
      Fixture fixture(20);
      Suspicions suspicions({}, { 1 });
      suspicions.Accuse({ 5 }, { 2 }, 0, fixture.mProber.EndedProbes());
      for (std::uint64_t i = 0; i < row.mSucceeded; ++i) {
        const auto ping = fixture.NextPing();
        fixture.Ack(ping, ping.mTarget.mBits);
        while (fixture.mProber.EndedProbes() <= i) {
          fixture.Tick();
        }
      }
      // The tick that ended the last probe pinged the next target, which does
      // not respond and is the first failure.
      const std::uint64_t expected = row.mSucceeded + row.mFailed;
      while (fixture.mProber.EndedProbes() < expected) {
        fixture.Tick();
      }
      CHECK(fixture.mProber.EndedProbes() == expected);
      const auto time = 10s * (fixture.mProber.HealthScore() + 1);
      const auto steps = suspicions.Advance(time, 10, fixture.mProber);
      CHECK(steps.mExpired.size() == (row.mExpires ? 1 : 0));
    }
  }

  // A node with bad links needs longer to receive a refutation.
  TEST_CASE("a high health score slows the timers down")
  {
    for (const unsigned health : { 0U, 1U, 8U }) {
      CAPTURE(health);
      Fixture fixture(20);
      for (int i = 0; i < 3; ++i) {
        const auto ping = fixture.NextPing();
        fixture.Ack(ping, ping.mTarget.mBits);
      }
      fixture.NextPing();
      for (unsigned i = 0; i < health; ++i) {
        fixture.mProber.IncrementHealthScore();
      }
      Suspicions suspicions({}, { 1 });
      suspicions.Accuse({ 5 }, { 2 }, 0, 0);
      const auto time = 9s * (health + 1);
      CHECK(
        suspicions.Advance(time - 1s, 10, fixture.mProber).mExpired.empty());
      // Rounding of the divided times leaves less than a microsecond.
      const auto rest = 1s + 1us;
      CHECK(suspicions.Advance(rest, 10, fixture.mProber).mExpired.size() == 1);
    }
  }

  TEST_CASE("only a suspect accused by this node is notified again")
  {
    Fixture fixture(20);
    Suspicions suspicions({}, { 1 });
    suspicions.Accuse({ 5 }, { 1 }, 0, 0);
    suspicions.Accuse({ 6 }, { 2 }, 0, 0);
    CHECK(suspicions.Advance(1s, 10, fixture.mProber).mReminded.empty());
    const auto reminded = suspicions.Advance(1s, 10, fixture.mProber).mReminded;
    REQUIRE(reminded.size() == 1);
    CHECK(reminded.front().mBits == 5);
  }
}
