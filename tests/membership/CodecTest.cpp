#include "membership/Codec.h"
#include "membership/Gossip.h"
#include "membership/Random.h"

#include <doctest/doctest.h>
#include <limits>

using namespace nutmegrock;
using namespace nutmegrock::membership;
using namespace std::chrono_literals;

namespace {

Member
Record(std::size_t aNameLength, std::uint64_t aNumber)
{
  Member member;
  member.mIncarnation = { aNumber };
  member.mAddress = { "2001:db8:1234:5678:9abc:def0:1234:5678", 65535 };
  member.mService = std::string(aNameLength, 's');
  member.mRegion = std::string(aNameLength, 'r');
  member.mAvailabilityZone = std::string(aNameLength, 'z');
  member.mSlots = 2'000'000'000;
  member.mConnections = 2'000'000'000;
  member.mState = MemberState::Draining;
  member.mVersion = aNumber;
  member.mJoinedMs = 1'800'000'000'000;
  return member;
}

Message
FullMessage(std::size_t aNameLength, std::size_t aChanges)
{
  constexpr auto kLarge = std::numeric_limits<std::uint64_t>::max() - 1;
  Message message;
  message.mKind = MessageKind::PingRequest;
  message.mSender = { kLarge };
  message.mRefutation = kLarge;
  message.mRecordVersion = kLarge;
  message.mProfileVersion = kLarge;
  message.mProfileAge = { std::numeric_limits<std::int64_t>::max() - 1, 60s };
  message.mSequence = kLarge;
  message.mTarget = { kLarge };
  message.mTargetAddress = Record(0, 1).mAddress;
  message.mNegative = true;
  message.mRecordRequested = true;
  for (std::size_t i = 0; i < aChanges; ++i) {
    message.mChanges.push_back(
      { std::make_shared<const Member>(Record(aNameLength, kLarge - i)),
        Liveness::Suspect,
        kLarge,
        300 * 24h,
        { kLarge } });
  }
  return message;
}

} // namespace

TEST_SUITE("membership/Codec")
{
  TEST_CASE("messages round-trip")
  {
    for (const std::size_t changes : { 0, 1, 2 }) {
      const Message sent = FullMessage(10, changes);
      const auto got = Decode(Encode(sent));
      REQUIRE(got.has_value());
      CHECK(got->mKind == sent.mKind);
      CHECK(got->mSender == sent.mSender);
      CHECK(got->mRefutation == sent.mRefutation);
      CHECK(got->mRecordVersion == sent.mRecordVersion);
      CHECK(got->mProfileVersion == sent.mProfileVersion);
      CHECK(got->mProfileAge == sent.mProfileAge);
      CHECK(got->mSequence == sent.mSequence);
      CHECK(got->mTarget == sent.mTarget);
      CHECK(got->mTargetAddress == sent.mTargetAddress);
      CHECK(got->mNegative);
      CHECK(got->mRecordRequested);
      REQUIRE(got->mChanges.size() == changes);
      for (std::size_t i = 0; i < changes; ++i) {
        const Change& change = got->mChanges[i];
        CHECK(*change.mMember == *sent.mChanges[i].mMember);
        CHECK(change.mLiveness == Liveness::Suspect);
        CHECK(change.mRefutation == sent.mChanges[i].mRefutation);
        CHECK(change.mAge == sent.mChanges[i].mAge);
        CHECK(change.mAccuser == sent.mChanges[i].mAccuser);
      }
    }
  }

  // A bound below the actual size would produce datagrams that receivers drop.
  TEST_CASE("the size bound holds for the largest and smallest values")
  {
    for (const std::size_t length : { 0, 1, 20, 64 }) {
      for (std::size_t changes = 0; changes <= Gossip::kMaxChanges; ++changes) {
        const Message message = FullMessage(length, changes);
        CHECK(Encode(message).size() <= MaxEncodedSize(message));
      }
    }
    CHECK(MaxEncodedSize(FullMessage(Member::kMaxName, 2)) <= kMaxDatagram);
  }

  TEST_CASE("values out of range are rejected")
  {
    struct Case
    {
      std::string mName;
      std::function<void(Message&, Member&)> mCorrupt;
    };
    const Case cases[] = {
      { "no sender",
        [](Message& aMessage, Member&) { aMessage.mSender = {}; } },
      { "kind",
        [](Message& aMessage, Member&) {
          aMessage.mKind = static_cast<MessageKind>(9);
        } },
      { "target address",
        [](Message& aMessage, Member&) { aMessage.mTargetAddress.mIp = "x"; } },
      { "target port",
        [](Message& aMessage, Member&) { aMessage.mTargetAddress.mPort = 0; } },
      { "no incarnation",
        [](Message&, Member& aMember) { aMember.mIncarnation = {}; } },
      { "address",
        [](Message&, Member& aMember) { aMember.mAddress.mIp = "host"; } },
      { "port", [](Message&, Member& aMember) { aMember.mAddress.mPort = 0; } },
      { "long name",
        [](Message&, Member& aMember) {
          aMember.mService = std::string(Member::kMaxName + 1, 'x');
        } },
      { "state",
        [](Message&, Member& aMember) {
          aMember.mState = static_cast<MemberState>(4);
        } },
      { "negative slots",
        [](Message&, Member& aMember) { aMember.mSlots = 3'000'000'000U; } },
      { "liveness",
        [](Message& aMessage, Member&) {
          aMessage.mChanges.front().mLiveness = static_cast<Liveness>(3);
        } },
      { "negative age",
        [](Message& aMessage, Member&) {
          aMessage.mChanges.front().mAge = -1s;
        } },
      { "too many changes",
        [](Message& aMessage, Member&) {
          aMessage.mChanges.resize(7, aMessage.mChanges.front());
        } },
    };
    for (const Case& row : cases) {
      CAPTURE(row.mName);
      Message message = FullMessage(1, 1);
      Member member = *message.mChanges.front().mMember;
      row.mCorrupt(message, member);
      for (Change& change : message.mChanges) {
        change.mMember = std::make_shared<const Member>(member);
      }
      const auto got = Decode(Encode(message));
      REQUIRE_FALSE(got.has_value());
      CHECK(got.error().mKind == core::ErrorKind::ProtocolError);
    }
  }

  // A malformed datagram must not crash a node or make it allocate much memory.
  TEST_CASE("truncated, altered and random bytes are rejected or decode")
  {
    const std::string good = Encode(FullMessage(10, 3));
    for (std::size_t size = 0; size < good.size(); ++size) {
      CHECK_FALSE(Decode(good.substr(0, size)).has_value());
    }
    CHECK_FALSE(Decode(good + "x").has_value());
    CHECK_FALSE(Decode(std::string(kMaxDatagram + 1, '\0')).has_value());
    Random random(7);
    for (int i = 0; i < 20000; ++i) {
      std::string bytes = good;
      for (std::size_t flips = 1 + random.Below(4); flips > 0; --flips) {
        bytes[random.Below(bytes.size())] =
          static_cast<char>(random.Below(256));
      }
      if (const auto got = Decode(bytes)) {
        CHECK(got->mChanges.size() <= Gossip::kMaxChanges);
      }
      for (char& byte : bytes) {
        byte = static_cast<char>(random.Below(256));
      }
      Decode(bytes);
      DecodePull(bytes);
      DecodePage(bytes);
    }
  }

  TEST_CASE("pulls and pages round-trip and bad ones are rejected")
  {
    TablePull pull;
    CHECK(DecodePull(Encode(pull))->mDigests.empty());
    pull.mDigests.assign(MemberTable::kBuckets, 77);
    pull.mBucket = 63;
    const auto got = DecodePull(Encode(pull));
    REQUIRE(got.has_value());
    CHECK(got->mDigests == pull.mDigests);
    CHECK(got->mBucket == 63);
    pull.mBucket = 64;
    CHECK_FALSE(DecodePull(Encode(pull)).has_value());
    pull.mBucket = 0;
    pull.mDigests.pop_back();
    CHECK_FALSE(DecodePull(Encode(pull)).has_value());
    TablePage page;
    page.mChanges = FullMessage(5, 6).mChanges;
    page.mNextBucket = 9;
    const auto read = DecodePage(Encode(page));
    REQUIRE(read.has_value());
    CHECK(read->mChanges.size() == 6);
    CHECK(read->mNextBucket == 9);
    CHECK_FALSE(DecodePage("nonsense").has_value());
  }
}
