#pragma once

#include "transport/Call.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

namespace nutmegrock::transport::http {

using RequestParser =
  boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// The call of a parsed head. Fails with BadRequest for what is valid HTTP but
/// not a call: other versions than HTTP/1.1, and targets that are not a path.
core::Expected<CallHead>
HeadOf(const RequestParser& aParser);

/// What to answer after a failed read of a head: BadRequest, BodyTooLarge, or
/// nothing if the connection is broken.
std::optional<core::Error>
RefusalOf(boost::system::error_code aCode);

} // namespace nutmegrock::transport::http
