#pragma once

#include "core/Address.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace nutmegrock::transport::http {

/// Settings of a CallListener.
struct CallListenerSettings
{
  /// Port 0 lets the system choose a port.
  core::Address mAddress;
  std::size_t mMaxConnections = 1024;
  /// Maximum size of request line and headers together, in bytes.
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 64ULL * 1024 * 1024;
  /// Maximum time from the first byte of a call to the end of its headers, and
  /// between two parts of a body.
  core::Duration mHeaderTimeout = std::chrono::seconds(10);
  /// Maximum time that a connection stays open between two calls.
  core::Duration mIdleTimeout = std::chrono::seconds(60);
};

} // namespace nutmegrock::transport::http
