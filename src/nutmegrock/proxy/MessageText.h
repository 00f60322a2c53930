#pragma once

#include "proxy/MessageHead.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::proxy {

/// Returns "Name: value" with its CRLF.
std::string
HeaderLine(std::string_view aName, std::string_view aValue);

/// Returns the status line of a response. An empty reason is replaced by the
/// standard one.
std::string
StatusLine(unsigned aStatus, std::string_view aReason);

/// Appends the header line that frames a body; none for BodyFraming::None. A
/// body that ends with its connection is sent chunked instead.
void
AddFraming(std::string& aText, BodyFraming aFraming, std::uint64_t aLength);

/// Appends bytes as one chunk of a chunked body.
void
AddChunk(std::string& aText, std::string_view aBytes);

/// End of a chunked body.
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace nutmegrock::proxy
