#include "membership/Gossip.h"
#include "membership/Codec.h"

#include <doctest/doctest.h>
#include <map>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

const core::TimePoint kNow{ 1h };

Member
Record(std::uint64_t aId, std::size_t aNameLength = 8)
{
  Member member;
  member.mIncarnation = { aId };
  member.mAddress = { "10.0.0.1", static_cast<std::uint16_t>(aId) };
  member.mService = std::string(aNameLength, 's');
  member.mRegion = std::string(aNameLength, 'r');
  member.mAvailabilityZone = std::string(aNameLength, 'z');
  return member;
}

/// A table of members 1 to aCount; member 1 is this node.
std::unique_ptr<MemberTable>
TableOf(std::uint64_t aCount, std::size_t aNameLength = 8)
{
  auto table =
    std::make_unique<MemberTable>(Record(1, aNameLength), MembershipSettings{});
  for (std::uint64_t i = 2; i <= aCount; ++i) {
    table->Merge(kNow,
                 { std::make_shared<const Member>(Record(i, aNameLength)),
                   Liveness::Alive,
                   0,
                   {},
                   {} });
  }
  return table;
}

} // namespace

TEST_SUITE("membership/Gossip")
{
  TEST_CASE("each change is sent about 3 log2(members) times")
  {
    for (const std::uint64_t count : { 2, 16, 100 }) {
      const auto table = TableOf(count);
      Gossip gossip;
      std::map<std::uint64_t, std::uint32_t> sent;
      for (std::uint64_t i = 1; i <= count; ++i) {
        gossip.Add({ i });
      }
      while (gossip.Size() > 0) {
        Message message;
        gossip.Fill(kNow, *table, message);
        CHECK(message.mChanges.size() <= Gossip::kMaxChanges);
        CHECK(Encode(message).size() <= kMaxDatagram);
        for (const Change& change : message.mChanges) {
          ++sent[change.mMember->mIncarnation.mBits];
        }
      }
      CHECK(sent.size() == count);
      for (const auto& [id, times] : sent) {
        CHECK(times == Gossip::SendsFor(count));
      }
    }
    CHECK(Gossip::SendsFor(16) == 12);
    CHECK(Gossip::SendsFor(3800) == 36);
  }

  // Otherwise the last change of a burst would wait for all others.
  TEST_CASE("the change sent least often goes first, the latest of equals")
  {
    const auto table = TableOf(20);
    Gossip gossip;
    for (std::uint64_t i = 1; i <= 10; ++i) {
      gossip.Add({ i });
    }
    Message first;
    gossip.Fill(kNow, *table, first);
    REQUIRE(first.mChanges.size() == 6);
    CHECK(first.mChanges.front().mMember->mIncarnation.mBits == 10);
    gossip.Add({ 11 });
    Message second;
    gossip.Fill(kNow, *table, second);
    REQUIRE(second.mChanges.size() == 6);
    CHECK(second.mChanges.front().mMember->mIncarnation.mBits == 11);
    CHECK(second.mChanges[1].mMember->mIncarnation.mBits == 4);
  }

  TEST_CASE("with long names a datagram carries fewer changes")
  {
    const auto table = TableOf(20, Member::kMaxName);
    Gossip gossip;
    for (std::uint64_t i = 1; i <= 20; ++i) {
      gossip.Add({ i });
    }
    Message message;
    gossip.Fill(kNow, *table, message);
    CHECK(message.mChanges.size() >= 3);
    CHECK(message.mChanges.size() < 6);
    CHECK(Encode(message).size() <= kMaxDatagram);
  }

  TEST_CASE("removed members and those already in the message are left out")
  {
    const auto table = TableOf(3);
    Gossip gossip;
    gossip.Add({ 2 });
    gossip.Add({ 99 });
    Message message;
    message.mChanges.push_back(
      MemberTable::ChangeOf(kNow, *table->Find({ 2 })));
    gossip.Fill(kNow, *table, message);
    CHECK(message.mChanges.size() == 1);
    CHECK(gossip.Size() == 1);
  }
}
