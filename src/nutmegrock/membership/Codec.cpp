#include "membership/Codec.h"

#include "membership/Gossip.h"
#include "membership_types.h"

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <limits>
#include <memory>
#include <spdlog/fmt/fmt.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace nutmegrock::membership {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using core::ErrorKind;

/// Bytes of a change besides its strings and variable-length numbers: 16 field
/// headers, two stop fields, three one-byte and one three-byte number, four
/// string lengths, two incarnations.
constexpr std::size_t kChangeOverhead = 48;
/// Maximum bytes of a datagram without changes and target address: seven 64-bit
/// numbers, 14 field headers of at most two bytes, small numbers and list
/// headers.
constexpr std::size_t kDatagramOverhead = 116;

/// Ages beyond this one tell nothing.
constexpr std::chrono::milliseconds kMaxProfileAge = std::chrono::minutes(1);

/// Maximum members in one page; far above what a sender puts into one.
constexpr std::int32_t kMaxPageMembers = 20000;
/// Maximum string length in bytes.
constexpr std::int32_t kMaxString = 256;

template<class Wire>
std::string
Write(const Wire& aWire)
{
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  aWire.write(&protocol);
  return buffer->getBufferAsString();
}

template<class Wire>
core::Expected<Wire>
Read(std::string_view aBytes, std::int32_t aMaxItems)
{
  if (aBytes.size() > std::numeric_limits<std::uint32_t>::max()) {
    return core::Fail(ErrorKind::ProtocolError, "message is too large");
  }
  // The buffer only reads the bytes, but its interface takes no const pointer.
  auto* bytes =
    reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data()));
  auto buffer = std::make_shared<TMemoryBuffer>(
    bytes, static_cast<std::uint32_t>(aBytes.size()));
  TCompactProtocolT<TMemoryBuffer> protocol(buffer, kMaxString, aMaxItems);
  Wire wire;
  try {
    wire.read(&protocol);
  } catch (const std::exception& error) {
    return core::Fail(ErrorKind::ProtocolError, error.what());
  }
  if (buffer->available_read() != 0) {
    return core::Fail(ErrorKind::ProtocolError, "bytes follow the message");
  }
  return wire;
}

std::int64_t
Signed(std::uint64_t aValue)
{
  return static_cast<std::int64_t>(aValue);
}

std::uint64_t
Unsigned(std::int64_t aValue)
{
  return static_cast<std::uint64_t>(aValue);
}

/// Size in bytes of a number in the compact protocol: 7 bits per byte of its
/// zigzag encoding.
std::size_t
VarintSize(std::uint64_t aValue)
{
  std::size_t size = 1;
  const auto value = Signed(aValue);
  auto zigzag = (aValue << 1U) ^ Unsigned(value >> 63U);
  for (; zigzag >= 0x80U; zigzag >>= 7U) {
    ++size;
  }
  return size;
}

gen::WireChange
ToWire(const Change& aChange)
{
  const Member& member = *aChange.mMember;
  gen::WireChange wire;
  wire.member.incarnation = Signed(member.mIncarnation.mBits);
  wire.member.ip = member.mAddress.mIp;
  wire.member.port = member.mAddress.mPort;
  wire.member.service_name = member.mService;
  wire.member.region = member.mRegion;
  wire.member.availability_zone = member.mAvailabilityZone;
  wire.member.slots = static_cast<std::int32_t>(member.mSlots);
  wire.member.connections = static_cast<std::int32_t>(member.mConnections);
  wire.member.state = static_cast<std::int8_t>(member.mState);
  wire.member.version = Signed(member.mVersion);
  wire.member.joined_ms = member.mJoinedMs;
  wire.liveness = static_cast<std::int8_t>(aChange.mLiveness);
  wire.refutation = Signed(aChange.mRefutation);
  wire.age_ms =
    std::chrono::duration_cast<std::chrono::milliseconds>(aChange.mAge).count();
  wire.accuser = Signed(aChange.mAccuser.mBits);
  return wire;
}

/// True if all values of a decoded change are within their ranges.
bool
IsValid(const gen::WireChange& aWire)
{
  // Ages are compared with retention times of hours; a year exceeds all of them
  // and cannot overflow a time point.
  constexpr std::int64_t kMaxAgeMs = 366LL * 24 * 3600 * 1000;
  const gen::WireMember& member = aWire.member;
  boost::system::error_code code;
  boost::asio::ip::make_address(member.ip, code);
  return !code && member.incarnation != 0 && member.port > 0 &&
         member.port <= std::numeric_limits<std::uint16_t>::max() &&
         member.service_name.size() <= Member::kMaxName &&
         member.region.size() <= Member::kMaxName &&
         member.availability_zone.size() <= Member::kMaxName &&
         member.slots >= 0 && member.connections >= 0 && member.state >= 0 &&
         member.state <= static_cast<std::int8_t>(MemberState::Left) &&
         aWire.liveness >= 0 &&
         aWire.liveness <= static_cast<std::int8_t>(Liveness::Dead) &&
         aWire.age_ms >= 0 && aWire.age_ms <= kMaxAgeMs;
}

core::Expected<std::vector<Change>>
FromWire(std::vector<gen::WireChange>& aWires)
{
  std::vector<Change> changes;
  changes.reserve(aWires.size());
  for (gen::WireChange& wire : aWires) {
    if (!IsValid(wire)) {
      return core::Fail(ErrorKind::ProtocolError, "member is not valid");
    }
    Member member;
    member.mIncarnation = { Unsigned(wire.member.incarnation) };
    member.mAddress = { std::move(wire.member.ip),
                        static_cast<std::uint16_t>(wire.member.port) };
    member.mService = std::move(wire.member.service_name);
    member.mRegion = std::move(wire.member.region);
    member.mAvailabilityZone = std::move(wire.member.availability_zone);
    member.mSlots = static_cast<std::uint32_t>(wire.member.slots);
    member.mConnections = static_cast<std::uint32_t>(wire.member.connections);
    member.mState = static_cast<MemberState>(wire.member.state);
    member.mVersion = Unsigned(wire.member.version);
    member.mJoinedMs = wire.member.joined_ms;
    changes.push_back({ std::make_shared<const Member>(std::move(member)),
                        static_cast<Liveness>(wire.liveness),
                        Unsigned(wire.refutation),
                        std::chrono::milliseconds(wire.age_ms),
                        { Unsigned(wire.accuser) } });
  }
  return changes;
}

std::vector<gen::WireChange>
ToWire(const std::vector<Change>& aChanges)
{
  std::vector<gen::WireChange> wires;
  wires.reserve(aChanges.size());
  for (const Change& change : aChanges) {
    wires.push_back(ToWire(change));
  }
  return wires;
}

core::Expected<Message>
FromWire(gen::WireDatagram& aWire)
{
  Message message;
  if (aWire.kind < 0 ||
      aWire.kind > static_cast<std::int8_t>(MessageKind::VersionNotice) ||
      aWire.incarnation == 0 || aWire.changes.size() > Gossip::kMaxChanges) {
    return core::Fail(ErrorKind::ProtocolError, "datagram is not valid");
  }
  message.mKind = static_cast<MessageKind>(aWire.kind);
  message.mSender = { Unsigned(aWire.incarnation) };
  message.mRefutation = Unsigned(aWire.refutation);
  message.mRecordVersion = Unsigned(aWire.record_version);
  message.mProfileVersion = Unsigned(aWire.profile_version);
  if (aWire.__isset.profile_age_ms && aWire.__isset.store_ms &&
      aWire.profile_age_ms >= 0) {
    message.mProfileAge = { aWire.store_ms,
                            std::chrono::milliseconds(aWire.profile_age_ms) };
  }
  message.mSequence = Unsigned(aWire.sequence);
  message.mTarget = { Unsigned(aWire.target) };
  message.mNegative = aWire.negative;
  message.mRecordRequested = aWire.wants_record;
  if (message.mKind == MessageKind::PingRequest) {
    boost::system::error_code code;
    boost::asio::ip::make_address(aWire.target_ip, code);
    if (code || aWire.target_port <= 0 ||
        aWire.target_port > std::numeric_limits<std::uint16_t>::max()) {
      return core::Fail(ErrorKind::ProtocolError, "target is not valid");
    }
    message.mTargetAddress = { std::move(aWire.target_ip),
                               static_cast<std::uint16_t>(aWire.target_port) };
  }
  auto changes = FromWire(aWire.changes);
  if (!changes) {
    return tl::make_unexpected(std::move(changes.error()));
  }
  message.mChanges = std::move(*changes);
  return message;
}

} // namespace

std::size_t
MaxEncodedSize(const Change& aChange)
{
  const Member& member = *aChange.mMember;
  const auto ageMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(aChange.mAge).count();
  return kChangeOverhead + member.mAddress.mIp.size() + member.mService.size() +
         member.mRegion.size() + member.mAvailabilityZone.size() +
         VarintSize(member.mSlots) + VarintSize(member.mConnections) +
         VarintSize(member.mVersion) + VarintSize(Unsigned(member.mJoinedMs)) +
         VarintSize(aChange.mRefutation) + VarintSize(Unsigned(ageMs));
}

std::size_t
MaxEncodedSize(const Message& aMessage)
{
  std::size_t size = kDatagramOverhead + aMessage.mTargetAddress.mIp.size();
  for (const Change& change : aMessage.mChanges) {
    size += MaxEncodedSize(change);
  }
  return size;
}

std::string
Encode(const Message& aMessage)
{
  gen::WireDatagram wire;
  wire.kind = static_cast<std::int8_t>(aMessage.mKind);
  wire.incarnation = Signed(aMessage.mSender.mBits);
  wire.refutation = Signed(aMessage.mRefutation);
  wire.record_version = Signed(aMessage.mRecordVersion);
  wire.profile_version = Signed(aMessage.mProfileVersion);
  wire.sequence = Signed(aMessage.mSequence);
  wire.target = Signed(aMessage.mTarget.mBits);
  if (aMessage.mKind == MessageKind::PingRequest) {
    wire.__set_target_ip(aMessage.mTargetAddress.mIp);
    wire.__set_target_port(aMessage.mTargetAddress.mPort);
  }
  if (aMessage.mProfileAge && aMessage.mProfileAge->mAge <= kMaxProfileAge) {
    wire.__set_profile_age_ms(
      static_cast<std::int32_t>(aMessage.mProfileAge->mAge.count()));
    wire.__set_store_ms(aMessage.mProfileAge->mStoreMs);
  }
  if (aMessage.mNegative) {
    wire.__set_negative(true);
  }
  if (aMessage.mRecordRequested) {
    wire.__set_wants_record(true);
  }
  if (!aMessage.mChanges.empty()) {
    wire.__set_changes(ToWire(aMessage.mChanges));
  }
  return Write(wire);
}

core::Expected<Message>
Decode(std::string_view aBytes)
{
  if (aBytes.size() > kMaxDatagram) {
    return core::Fail(ErrorKind::ProtocolError,
                      fmt::format("datagram of {} bytes exceeds {}",
                                  aBytes.size(),
                                  kMaxDatagram));
  }
  auto wire = Read<gen::WireDatagram>(aBytes, Gossip::kMaxChanges);
  if (!wire) {
    return tl::make_unexpected(std::move(wire.error()));
  }
  return FromWire(*wire);
}

std::string
Encode(const TablePull& aPull)
{
  gen::TablePull wire;
  for (const std::uint64_t digest : aPull.mDigests) {
    wire.digests.push_back(Signed(digest));
  }
  wire.bucket = static_cast<std::int32_t>(aPull.mBucket);
  return Write(wire);
}

std::string
Encode(const TablePage& aPage)
{
  gen::TablePage wire;
  wire.changes = ToWire(aPage.mChanges);
  wire.next_bucket = static_cast<std::int32_t>(aPage.mNextBucket);
  return Write(wire);
}

core::Expected<TablePull>
DecodePull(std::string_view aBytes)
{
  const auto wire = Read<gen::TablePull>(aBytes, MemberTable::kBuckets);
  if (!wire) {
    return tl::make_unexpected(wire.error());
  }
  const std::size_t digests = wire->digests.size();
  if (wire->bucket < 0 ||
      static_cast<std::size_t>(wire->bucket) >= MemberTable::kBuckets ||
      (digests != 0 && digests != MemberTable::kBuckets)) {
    return core::Fail(ErrorKind::ProtocolError, "pull is not valid");
  }
  TablePull pull;
  pull.mBucket = static_cast<std::size_t>(wire->bucket);
  for (const std::int64_t digest : wire->digests) {
    pull.mDigests.push_back(Unsigned(digest));
  }
  return pull;
}

core::Expected<TablePage>
DecodePage(std::string_view aBytes)
{
  auto wire = Read<gen::TablePage>(aBytes, kMaxPageMembers);
  if (!wire) {
    return tl::make_unexpected(std::move(wire.error()));
  }
  if (wire->next_bucket < 0) {
    return core::Fail(ErrorKind::ProtocolError, "page is not valid");
  }
  auto changes = FromWire(wire->changes);
  if (!changes) {
    return tl::make_unexpected(std::move(changes.error()));
  }
  return TablePage{ std::move(*changes),
                    static_cast<std::size_t>(wire->next_bucket) };
}

} // namespace nutmegrock::membership
