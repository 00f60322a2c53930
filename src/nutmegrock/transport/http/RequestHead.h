#pragma once

#include "transport/Call.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

namespace nutmegrock::transport::http {

using RequestParser =
  boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// Converts a parsed head to that of a call. Fails with BadRequest for valid
/// HTTP that is not a call: versions other than HTTP/1.1, and targets that are
/// not a path.
core::Expected<CallHead>
ToCallHead(const RequestParser& aParser);

/// The error to send after a failed read of a head: BadRequest or BodyTooLarge,
/// or nothing if the connection is broken.
std::optional<core::Error>
ParseErrorOf(boost::system::error_code aCode);

} // namespace nutmegrock::transport::http
