#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>

namespace nutmegrock::transport::http {

/// Reads and discards bytes until the other side closes, the socket is closed
/// here, or more than aMax bytes have arrived.
void
DrainSocket(std::shared_ptr<boost::asio::ip::tcp::socket> aSocket,
            std::size_t aMax,
            std::function<void()> aDone);

} // namespace nutmegrock::transport::http
