#pragma once

#include "core/Error.h"
#include "membership/MemberTable.h"
#include "membership/Message.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::membership {

/// Largest datagram in bytes; fits the 1,280 bytes that every IPv6 path
/// carries without fragments.
constexpr std::size_t kMaxDatagram = 1200;

/// Upper bound of the bytes a change takes in a datagram.
std::size_t
SizeBound(const Change& aChange);
/// Upper bound of the bytes of a datagram.
std::size_t
SizeBound(const Message& aMessage);

/// The bytes of a datagram.
std::string
Encode(const Message& aMessage);
/// Reads a datagram. Fails with ProtocolError when it is larger than
/// kMaxDatagram, cut off, or holds a value outside its range.
core::Expected<Message>
Decode(std::string_view aBytes);

/// Argument of "members.pull".
struct TablePull
{
  /// Digests of the asking node; empty asks for everything.
  std::vector<std::uint64_t> mDigests;
  std::size_t mBucket = 0;
};

/// Result of "members.pull".
struct TablePage
{
  std::vector<Change> mChanges;
  std::size_t mNextBucket = MemberTable::kBuckets;
};

std::string
Encode(const TablePull& aPull);
std::string
Encode(const TablePage& aPage);
/// Fails with ProtocolError.
core::Expected<TablePull>
DecodePull(std::string_view aBytes);
/// Fails with ProtocolError.
core::Expected<TablePage>
DecodePage(std::string_view aBytes);

} // namespace nutmegrock::membership
