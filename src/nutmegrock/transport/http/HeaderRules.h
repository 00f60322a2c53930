#pragma once

#include "transport/Call.h"

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace nutmegrock::transport::http {

/// Returns true if the text is a token of RFC 9110, 5.6.2, as methods and
/// header names must be.
bool
IsToken(std::string_view aText);

/// Returns true if the text is a valid header value. Control characters are
/// rejected, since they could end the header line and inject further headers.
bool
IsFieldValue(std::string_view aText);

/// Returns true if the text is a path with an optional query: starts with '/',
/// no spaces or control characters.
bool
IsTarget(std::string_view aText);

/// Returns true if a header belongs to one connection or to the framing of one
/// message (RFC 9110, 7.6.1 and 8.6) and must not be forwarded.
bool
IsHopByHop(std::string_view aName);

/// Returns true if the headers tell the end of the body clearly: at most one
/// transfer coding, which is "chunked", and none beside a length or in a
/// message of HTTP/1.0. The parser ignores other codings.
bool
HasClearFraming(const boost::beast::http::fields& aFields, unsigned aVersion);

/// Returns the headers to forward: all except hop-by-hop headers and those
/// listed in the Connection header.
Headers
EndToEndHeaders(const boost::beast::http::fields& aFields);

/// Adds the valid headers that are not hop-by-hop.
void
AddHeaders(const Headers& aHeaders, boost::beast::http::fields& aFields);

} // namespace nutmegrock::transport::http
