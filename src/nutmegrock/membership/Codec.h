#pragma once

#include "core/Error.h"
#include "membership/Message.h"
#include "membership/TablePage.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace nutmegrock::membership {

/// Maximum datagram size in bytes; fits the IPv6 minimum MTU of 1,280 bytes, so
/// that no path fragments it.
constexpr std::size_t kMaxDatagram = 1200;

/// Upper bound of the encoded size of a change, in bytes.
std::size_t
MaxEncodedSize(const Change& aChange);
/// Upper bound of the encoded size of a datagram, in bytes.
std::size_t
MaxEncodedSize(const Message& aMessage);

/// Encodes a datagram.
std::string
Encode(const Message& aMessage);
/// Decodes a datagram. Fails with ProtocolError when it is larger than
/// kMaxDatagram, truncated, or holds a value outside its range.
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
