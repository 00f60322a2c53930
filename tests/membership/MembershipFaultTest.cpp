#include "tests/membership/Mesh.h"

#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

using Delays = std::vector<core::Duration>;

/// A mesh of aCount nodes that know each other and keep no seeds, so that
/// members are found again only through the protocol.
std::unique_ptr<Mesh>
FormMesh(std::size_t aCount, std::uint64_t aSeed)
{
  auto mesh = std::make_unique<Mesh>(aSeed);
  mesh->mKeepSeeds = false;
  mesh->AddMany(aCount);
  mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 300s);
  REQUIRE(mesh->AllAgree());
  mesh->Advance(30s);
  return mesh;
}

/// Drops all messages between the first aCount nodes and the others.
Mesh::Link
PartitionAt(std::size_t aCount)
{
  return [aCount](std::size_t aFrom, std::size_t aTo) {
    return (aFrom < aCount) == (aTo < aCount) ? Delays{ 2ms } : Delays{};
  };
}

} // namespace

TEST_SUITE("membership/faults")
{
  // Detection takes the first failed probe, the minimum suspicion timeout (3
  // periods per decade of members) times up to three, and dissemination.
  TEST_CASE("a killed node is dropped from all views within seconds")
  {
    for (const std::size_t count : { 5, 18, 60, 200 }) {
      CAPTURE(count);
      const auto mesh = FormMesh(count, count);
      mesh->Kill(2);
      const auto took =
        mesh->AdvanceUntil([&] { return mesh->NodesSeeing(2) == 0; }, 60s);
      CAPTURE(took / 1ms);
      CHECK(mesh->AllAgree());
      CHECK(took <= 15s);
    }
  }

  // Calls to a node that is only slow would be lost if it were dropped. The
  // minimum suspicion timeout of 18 members, 3.8 s, covers the delay of the
  // accusation, the delay of the refutation and its dissemination if each delay
  // is below about a second. A slower node may be dropped and returns.
  TEST_CASE("a slow node stays a member")
  {
    struct Case
    {
      core::Duration mDelay;
      bool mStays;
    };
    for (const Case& row : { Case{ 100ms, true },
                             Case{ 350ms, true },
                             Case{ 800ms, true },
                             Case{ 2500ms, false } }) {
      CAPTURE(row.mDelay / 1ms);
      const auto mesh = FormMesh(18, 3);
      mesh->mLink = [&](std::size_t aFrom, std::size_t aTo) {
        return aFrom == 4 || aTo == 4 ? Delays{ row.mDelay } : Delays{ 2ms };
      };
      mesh->Advance(300s);
      mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 60s);
      CHECK(mesh->AllAgree());
      CHECK(mesh->Of(4).Counts().mDeclaredDead == 0);
      CHECK((mesh->DeclaredDead() == 0) == row.mStays);
    }
  }

  TEST_CASE("a paused node comes back and takes nobody for dead")
  {
    struct Case
    {
      core::Duration mPause;
      bool mDropped;
    };
    for (const Case& row : { Case{ 2s, false }, Case{ 60s, true } }) {
      CAPTURE(row.mPause / 1s);
      const auto mesh = FormMesh(18, 4);
      mesh->Pause(5);
      mesh->Advance(row.mPause);
      CHECK((mesh->NodesSeeing(5) == 0) == row.mDropped);
      mesh->Resume(5);
      mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 60s);
      CHECK(mesh->AllAgree());
      mesh->Advance(60s);
      CHECK(mesh->AllAgree());
      CHECK(mesh->Of(5).Counts().mDeclaredDead == 0);
    }
  }

  // Otherwise a node behind a broken link would announce that all others are
  // dead as soon as one datagram gets through.
  TEST_CASE("an isolated node declares nobody dead and is found again")
  {
    const auto mesh = FormMesh(18, 5);
    mesh->mLink = PartitionAt(1);
    mesh->Advance(300s);
    CHECK(mesh->Of(0).IsIsolated());
    CHECK(mesh->Of(0).Counts().mDeclaredDead == 0);
    CHECK(mesh->Of(0).View()->Alive() == 18);
    CHECK(mesh->NodesSeeing(0) == 0);
    mesh->mLink = PartitionAt(0);
    mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 120s);
    CHECK(mesh->AllAgree());
    CHECK(mesh->Of(0).Counts().mDeclaredDead == 0);
  }

  // A node that reaches a few members still disseminates its suspicions.
  TEST_CASE("a node that reaches 3 of 17 members declares none of them dead")
  {
    for (const std::uint64_t seed : { 16, 17, 18, 19, 20, 21, 22, 23 }) {
      CAPTURE(seed);
      const auto mesh = FormMesh(18, seed);
      mesh->mLink = [](std::size_t aFrom, std::size_t aTo) {
        const auto cut = [](std::size_t aOne, std::size_t aOther) {
          return aOne == 0 && aOther > 3;
        };
        return cut(aFrom, aTo) || cut(aTo, aFrom) ? Delays{} : Delays{ 2ms };
      };
      mesh->Advance(600s);
      CHECK(mesh->Of(0).Counts().mDeclaredDead == 0);
      for (std::size_t i = 1; i < mesh->Size(); ++i) {
        CHECK(mesh->NodesSeeing(i) == 17);
      }
      mesh->mLink = PartitionAt(0);
      mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 120s);
      CHECK(mesh->AllAgree());
    }
  }

  // Otherwise calls to the new node would carry the old incarnation and be
  // refused.
  TEST_CASE("a new incarnation at the same address replaces the old one")
  {
    for (const core::Duration clock : { 0h, -200'000h }) {
      CAPTURE(clock / 1h);
      const auto mesh = FormMesh(18, 6);
      mesh->Kill(7);
      mesh->mWallClock += clock;
      const auto replacement = mesh->AddAt(mesh->At(7).mAddress, 0);
      const auto took = mesh->AdvanceUntil(
        [&] { return mesh->NodesSeeing(replacement) == 17; }, 60s);
      CAPTURE(took / 1ms);
      mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 60s);
      CHECK(mesh->AllAgree());
      mesh->Advance(120s);
      CHECK(mesh->AllAgree());
    }
  }

  // Dead members must be retained and probed, since the store may be down and
  // no seeds are read again.
  TEST_CASE("regions that were apart for an hour find each other")
  {
    for (const std::size_t cut : { 1, 5, 9, 16 }) {
      CAPTURE(cut);
      const auto mesh = FormMesh(18, 7);
      mesh->mLink = PartitionAt(cut);
      mesh->Advance(1h);
      mesh->mLink = PartitionAt(0);
      const auto took =
        mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 300s);
      CAPTURE(took / 1s);
      CHECK(mesh->AllAgree());
      CHECK(took <= 60s);
      mesh->Advance(60s);
      CHECK(mesh->AllAgree());
    }
  }

  TEST_CASE("lost, duplicated and reordered datagrams do no harm")
  {
    struct Case
    {
      std::string mName;
      double mLost;
      double mDuplicated;
      core::Duration mJitter;
    };
    for (const Case& row : { Case{ "lost", 0.2, 0, 0ms },
                             Case{ "duplicated", 0, 0.5, 0ms },
                             Case{ "reordered", 0, 0, 400ms },
                             Case{ "all", 0.1, 0.3, 300ms } }) {
      CAPTURE(row.mName);
      const auto mesh = FormMesh(18, 8);
      Random random(9);
      mesh->mLink = [&](std::size_t, std::size_t) {
        Delays delays;
        const auto delay = [&] {
          return 2ms + std::chrono::duration_cast<core::Duration>(
                         row.mJitter * random.Unit());
        };
        if (random.Unit() >= row.mLost) {
          delays.push_back(delay());
        }
        if (random.Unit() < row.mDuplicated) {
          delays.push_back(delay());
        }
        return delays;
      };
      mesh->Advance(600s);
      CHECK(mesh->DeclaredDead() == 0);
      CHECK(mesh->AllAgree());
      mesh->Kill(3);
      mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 60s);
      CHECK(mesh->AllAgree());
    }
  }

  TEST_CASE("many members are replaced at once")
  {
    struct Case
    {
      std::string mName;
      std::size_t mCount;
      bool mLeave;
    };
    for (const Case& row : { Case{ "a third killed", 13, false },
                             Case{ "half leave", 20, true } }) {
      CAPTURE(row.mName);
      const auto mesh = FormMesh(40, 10);
      for (std::size_t i = 1; i <= row.mCount; ++i) {
        row.mLeave ? mesh->Leave(i) : mesh->Kill(i);
        mesh->Add(0);
      }
      mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 120s);
      CHECK(mesh->AllAgree());
      CHECK(mesh->Of(0).View()->Alive() == 40);
    }
  }

  // A member that left and was added again by stale gossip would receive calls
  // for as long as failure detection takes, again and again.
  TEST_CASE("stale gossip does not bring back a member that has left")
  {
    for (const core::Duration pause : { 10s, 700s, 7000s }) {
      CAPTURE(pause / 1s);
      const auto mesh = FormMesh(18, 11);
      const MemberPtr old = mesh->Of(6).Own();
      mesh->Leave(6);
      mesh->AdvanceUntil([&] { return mesh->NodesSeeing(6) == 0; }, 60s);
      mesh->Advance(pause);
      Message stale;
      stale.mKind = MessageKind::Update;
      stale.mSender = mesh->IdOf(1);
      stale.mChanges = { { old, Liveness::Alive, 0, {}, {} },
                         { old, Liveness::Suspect, 5, {}, {} },
                         { old, Liveness::Alive, 9, {}, {} } };
      mesh->Perform(
        2, mesh->Of(2).Handle(mesh->Now(), mesh->At(1).mAddress, stale));
      CHECK(mesh->NodesSeeing(6) == 0);
      mesh->Advance(60s);
      CHECK(mesh->NodesSeeing(6) == 0);
      CHECK(mesh->AllAgree());
    }
  }

  // The partition that did not receive the leave holds a dead member, which its
  // table exchanges offer to the others.
  TEST_CASE("a member that left during a partition stays gone after it")
  {
    const auto mesh = FormMesh(18, 12);
    mesh->mLink = PartitionAt(6);
    mesh->Leave(0);
    mesh->Advance(1h);
    mesh->mLink = PartitionAt(0);
    mesh->AdvanceUntil([&] { return mesh->AllAgree(); }, 120s);
    CHECK(mesh->AllAgree());
    mesh->Advance(600s);
    CHECK(mesh->AllAgree());
  }

  // Dead members whose retention time restarts at each node that receives them
  // would stay forever.
  TEST_CASE("a dead member is dropped everywhere and its row removed")
  {
    const auto mesh = FormMesh(10, 13);
    mesh->Kill(3);
    const auto gone = [&] {
      std::size_t knowing = 0;
      for (std::size_t i = 0; i < mesh->Size(); ++i) {
        knowing += i != 3 && mesh->Of(i).Table().Find(mesh->IdOf(3)) ? 1 : 0;
      }
      return knowing == 0;
    };
    mesh->Advance(1h);
    CHECK_FALSE(gone());
    mesh->AdvanceUntil(gone, 2h);
    CHECK(gone());
    mesh->Advance(600s);
    CHECK(gone());
    std::size_t removers = 0;
    for (std::size_t i = 0; i < mesh->Size(); ++i) {
      removers += mesh->At(i).mRowsToRemove.contains(mesh->IdOf(3)) ? 1 : 0;
    }
    CHECK(removers == 2);
  }

  TEST_CASE("a node joins a mesh of 3,800 members")
  {
    constexpr std::size_t kMembers = 3800;
    Mesh mesh(14);
    const auto host = mesh.Add(0);
    for (std::size_t i = 1; i < kMembers; ++i) {
      Member member = *mesh.Of(host).Own();
      member.mIncarnation = { 0x9e3779b97f4a7c15ULL * (i + 1) };
      member.mAddress = Mesh::AddressOf(i + 10);
      Message update;
      update.mKind = MessageKind::Update;
      update.mSender = { 1 };
      update.mChanges = {
        { std::make_shared<const Member>(member), Liveness::Alive, 0, {}, {} }
      };
      mesh.Of(host).Handle(mesh.Now(), member.mAddress, update);
    }
    const auto joiner = mesh.Add(host);
    mesh.Advance(1s);
    CHECK(mesh.Of(joiner).View()->Alive() == kMembers + 1);
    CHECK(mesh.Sees(host, joiner));
    // One whole table, and no datagram above the size that needs no
    // fragmentation.
    CHECK(mesh.At(joiner).mControlBytes < kMembers * 150);
    CHECK(mesh.At(joiner).mMaxDatagramBytes <= kMaxDatagram);
    CHECK(mesh.At(host).mMaxDatagramBytes <= kMaxDatagram);
  }

  // Profile versions must reach nodes that the notices missed.
  TEST_CASE("a higher profile version is reported from pings and acks")
  {
    const auto mesh = FormMesh(18, 15);
    mesh->At(4).mProfileVersion = 9;
    mesh->Advance(5s);
    std::size_t reports = 0;
    for (std::size_t i = 0; i < mesh->Size(); ++i) {
      for (const NewerVersion& newer : mesh->At(i).mNewer) {
        CHECK(newer.mVersion == 9);
        CHECK(newer.mFrom == mesh->At(4).mAddress);
        ++reports;
      }
    }
    CHECK(reports >= 4);
    CHECK(mesh->Of(4).NotifyVersion(9).mDatagrams.size() == 4);
  }

  // Guards against an age that was right when it was sent, and is believed
  // seconds later by a process that did not read meanwhile.
  TEST_CASE("an age that waited while the process was paused is not believed")
  {
    const auto mesh = FormMesh(3, 16);
    Membership& membership = mesh->Of(0);
    Message message;
    message.mKind = MessageKind::VersionNotice;
    message.mSender = mesh->IdOf(1);
    message.mProfileVersion = 9;
    message.mProfileAge = { 5'000, 100ms };
    mesh->At(0).mProfileVersion = 9;
    core::TimePoint now = mesh->Now();
    const auto handle = [&] {
      return membership.Handle(now, mesh->At(1).mAddress, message).mProfileAge;
    };
    CHECK(handle() == message.mProfileAge);
    now += 3s;
    CHECK(!handle());
    membership.Tick(now);
    CHECK(!handle());
    for (int i = 0; i < 3; ++i) {
      now += 100ms;
      membership.Tick(now);
    }
    CHECK(handle() == message.mProfileAge);
    // A node with an older version has to get the newer one instead.
    mesh->At(0).mProfileVersion = 8;
    CHECK(!handle());
  }
}
