#include "membership/MemberTable.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kNow{ 10h };

Member
Record(std::uint64_t aId,
       std::uint64_t aVersion = 1,
       MemberState aState = MemberState::Serving)
{
  Member member;
  member.mIncarnation = { aId };
  member.mAddress = { "10.0.0.1", static_cast<std::uint16_t>(aId) };
  member.mService = "till";
  member.mRegion = "khomas";
  member.mState = aState;
  member.mVersion = aVersion;
  member.mJoinedMs = 1000;
  return member;
}

Change
Make(const Member& aMember,
     Liveness aLiveness = Liveness::Alive,
     std::uint64_t aRefutation = 0,
     core::Duration aAge = 0s)
{
  return {
    std::make_shared<const Member>(aMember), aLiveness, aRefutation, aAge, {}
  };
}

} // namespace

TEST_SUITE("membership/MemberTable")
{
  TEST_CASE("precedence of a received change over the known state")
  {
    struct Case
    {
      std::string mName;
      Change mKnown;
      Change mReceived;
      bool mChanged;
      bool mPresent;
    };
    using enum Liveness;
    const auto left = Record(2, 3, MemberState::Left);
    auto moved = Record(2, 2);
    moved.mAddress.mPort = 9;
    const Case cases[] = {
      { "same", Make(Record(2)), Make(Record(2)), false, true },
      { "newer record", Make(Record(2)), Make(Record(2, 2)), true, true },
      { "older record", Make(Record(2, 2)), Make(Record(2)), false, true },
      { "other address", Make(Record(2)), Make(moved), false, true },
      { "left", Make(Record(2)), Make(left), true, false },
      { "after left", Make(left), Make(Record(2, 9)), false, false },
      { "suspect", Make(Record(2)), Make(Record(2), Suspect), true, true },
      { "alive at the same counter",
        Make(Record(2), Suspect),
        Make(Record(2)),
        false,
        true },
      { "refuted",
        Make(Record(2), Suspect),
        Make(Record(2), Alive, 1),
        true,
        true },
      { "dead", Make(Record(2), Suspect), Make(Record(2), Dead), true, false },
      { "stale suspicion",
        Make(Record(2), Alive, 2),
        Make(Record(2), Suspect, 1),
        false,
        true },
      { "stale death",
        Make(Record(2), Alive, 2),
        Make(Record(2), Dead, 1),
        false,
        true },
      { "suspect after dead",
        Make(Record(2), Dead),
        Make(Record(2), Suspect),
        false,
        false },
      { "refuted death",
        Make(Record(2), Dead),
        Make(Record(2), Alive, 1),
        true,
        true },
    };
    for (const Case& row : cases) {
      CAPTURE(row.mName);
      MemberTable table(Record(1), {});
      table.Merge(kNow, row.mKnown);
      const bool before = table.Find({ 2 })->IsPresent();
      const auto result = table.Merge(kNow, row.mReceived);
      CHECK(result.mChanged == row.mChanged);
      CHECK(table.Find({ 2 })->IsPresent() == row.mPresent);
      CHECK(table.Present().size() == (row.mPresent ? 1 : 0));
      CHECK(result.mAppeared == (row.mPresent && !before));
    }
  }

  // Datagrams are lost, duplicated and reordered; two nodes that received the
  // same changes must agree.
  TEST_CASE("the order and repetition of changes does not matter")
  {
    Random random(3);
    std::vector<Change> changes;
    for (int i = 0; i < 300; ++i) {
      const auto state = static_cast<MemberState>(random.Below(3));
      const auto record = Record(
        2 + random.Below(20), 1 + static_cast<std::uint64_t>(state), state);
      changes.push_back(
        Make(record, static_cast<Liveness>(random.Below(3)), random.Below(4)));
    }
    MemberTable first(Record(1), {});
    for (const Change& change : changes) {
      first.Merge(kNow, change);
    }
    for (int round = 0; round < 20; ++round) {
      MemberTable second(Record(1), {});
      std::shuffle(changes.begin(), changes.end(), random);
      for (std::size_t i = 0; i < 2 * changes.size(); ++i) {
        second.Merge(kNow, changes[i % changes.size()]);
      }
      CHECK(second.BucketDigests() == first.BucketDigests());
      CHECK(second.Present().size() == first.Present().size());
    }
  }

  TEST_CASE("an address belongs to the incarnation that joined last")
  {
    struct Case
    {
      std::int64_t mFirstJoined;
      std::int64_t mSecondJoined;
      bool mFirstStays;
    };
    for (const Case& row : { Case{ 1000, 2000, false },
                             Case{ 1000, 1000, false },
                             Case{ 2000, 1000, true } }) {
      CAPTURE(row.mSecondJoined);
      MemberTable table(Record(1), {});
      auto first = Record(2);
      first.mJoinedMs = row.mFirstJoined;
      auto second = Record(3);
      second.mAddress = first.mAddress;
      second.mJoinedMs = row.mSecondJoined;
      table.Merge(kNow, Make(first));
      const auto result = table.Merge(kNow, Make(second));
      CHECK(table.Find({ 2 })->IsPresent() == row.mFirstStays);
      CHECK(table.Find({ 3 })->IsPresent() == !row.mFirstStays);
      CHECK(result.mReplaced.IsKnown() == !row.mFirstStays);
      CHECK(table.MemberAt(first.mAddress).mBits ==
            (row.mFirstStays ? 2U : 3U));
    }
    // The address of this node cannot belong to another member.
    MemberTable table(Record(1), {});
    auto claimant = Record(2);
    claimant.mAddress = Record(1).mAddress;
    claimant.mJoinedMs = 9000;
    table.Merge(kNow, Make(claimant));
    CHECK_FALSE(table.Find({ 2 })->IsPresent());
  }

  TEST_CASE("dead and left members are removed and stale gossip is ignored")
  {
    struct Case
    {
      std::string mName;
      Change mGone;
      core::Duration mKept;
      Change mReceived;
      bool mReturns;
    };
    const auto left = Make(Record(2, 3, MemberState::Left));
    const auto dead = Make(Record(2), Liveness::Dead, 4);
    for (const Case& row : {
           Case{ "left, stale", left, 10min, Make(Record(2, 2)), false },
           Case{ "left, refuted",
                 left,
                 10min,
                 Make(Record(2, 9), Liveness::Alive, 9),
                 false },
           Case{ "left, received again", left, 10min, left, false },
           Case{ "dead, stale", dead, 2h, Make(Record(2)), false },
           Case{ "dead, received again", dead, 2h, dead, false },
           Case{ "dead, refuted",
                 dead,
                 2h,
                 Make(Record(2), Liveness::Alive, 5),
                 true },
         }) {
      CAPTURE(row.mName);
      MemberTable table(Record(1), {});
      table.Merge(kNow, row.mGone);
      table.Expire(kNow + row.mKept - 1s);
      CHECK(table.Find({ 2 }) != nullptr);
      const auto dropped = table.Expire(kNow + row.mKept);
      CHECK(dropped.size() == (row.mGone.mLiveness == Liveness::Dead ? 1 : 0));
      CHECK(table.Size() == 1);
      table.Merge(kNow + row.mKept + 1h, row.mReceived);
      CHECK((table.Find({ 2 }) != nullptr) == row.mReturns);
    }
  }

  // A retention time that starts again at each node that receives a dead member
  // would keep it in the mesh forever.
  TEST_CASE("a change carries the age of the death")
  {
    MemberTable table(Record(1), {});
    table.Merge(kNow, Make(Record(2), Liveness::Dead, 0, 3h));
    CHECK(table.Find({ 2 }) == nullptr);
    table.Merge(kNow, Make(Record(2), Liveness::Dead, 0, 90min));
    REQUIRE(table.Find({ 2 }) != nullptr);
    const auto change = MemberTable::ChangeOf(kNow + 5min, *table.Find({ 2 }));
    CHECK(change.mAge == 95min);
    CHECK(table.Expire(kNow + 30min).size() == 1);
  }

  // A node that was removed but still runs must be notified so that it refutes.
  TEST_CASE("a removed member is still accused")
  {
    MemberTable table(Record(1), {});
    table.Merge(kNow, Make(Record(2), Liveness::Dead, 4));
    table.Merge(kNow, Make(Record(3, 3, MemberState::Left)));
    table.Expire(kNow + 2h);
    const auto accusation = table.AccusationOf(kNow + 2h, { 2 });
    REQUIRE(accusation.mMember);
    CHECK(accusation.mLiveness == Liveness::Dead);
    CHECK(accusation.mRefutation == 4);
    CHECK_FALSE(table.AccusationOf(kNow + 2h, { 3 }).mMember);
    CHECK(table.IsExpiredLeaver({ 3 }));
    table.Expire(kNow + 7h);
    CHECK_FALSE(table.IsExpiredLeaver({ 3 }));
  }

  TEST_CASE("present members are picked without repetition")
  {
    for (const std::uint64_t count : { 0, 3, 64, 65, 1000 }) {
      CAPTURE(count);
      MemberTable table(Record(1), {});
      for (std::uint64_t i = 0; i < count; ++i) {
        table.Merge(kNow, Make(Record(2 + i)));
      }
      Random random(5);
      auto picked = table.PickPresent(
        random, 4, [](const auto& aEntry) { return aEntry.IsPresent(); });
      CHECK(picked.size() == std::min<std::uint64_t>(count, 4));
      std::sort(picked.begin(), picked.end());
      CHECK(std::unique(picked.begin(), picked.end()) == picked.end());
    }
  }
}
