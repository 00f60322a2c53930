#pragma once

#include "transport/Call.h"

#include <boost/beast/http/fields.hpp>
#include <string_view>

namespace nutmegrock::transport::http {

/// Whether the text is a token of RFC 9110, 5.6.2, as methods and header names
/// must be.
bool
IsToken(std::string_view aText);

/// Whether the text can stand as a header value: no control characters, which
/// could end the header line and forge further ones.
bool
IsFieldValue(std::string_view aText);

/// Whether the text is a path with an optional query: starts with '/', no
/// spaces or control characters.
bool
IsTarget(std::string_view aText);

/// Whether a header belongs to one connection or to the framing of one message
/// (RFC 9110, 7.6.1 and 8.6) and is not passed on.
bool
IsHopByHop(std::string_view aName);

/// The headers to pass on: all but hop-by-hop ones and those that the
/// Connection header names.
Headers
EndToEnd(const boost::beast::http::fields& aFields);

/// Adds the valid headers that are not hop-by-hop.
void
AddHeaders(const Headers& aHeaders, boost::beast::http::fields& aFields);

} // namespace nutmegrock::transport::http
