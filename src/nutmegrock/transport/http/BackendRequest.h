#pragma once

#include "core/Address.h"
#include "transport/Call.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <optional>

namespace nutmegrock::transport::http {

using BackendRequest =
  boost::beast::http::request<boost::beast::http::buffer_body>;

/// Sets the request line and headers. A body of unknown size is chunked. The
/// Host header of the call is kept, and defaults to the address.
void
FillRequest(const CallHead& aHead,
            const core::Address& aAddress,
            std::optional<std::uint64_t> aBodySize,
            BackendRequest& aRequest);

} // namespace nutmegrock::transport::http
