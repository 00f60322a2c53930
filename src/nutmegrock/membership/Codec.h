#pragma once

#include "core/Error.h"
#include "membership/Message.h"
#include "membership/TablePage.h"

#include <cstddef>
#include <string>
#include <string_view>

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
