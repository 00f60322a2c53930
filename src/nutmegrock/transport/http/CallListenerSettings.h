#pragma once

#include "core/Address.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace nutmegrock::transport::http {

/// Settings of a CallListener.
struct CallListenerSettings
{
  /// Port 0 lets the system choose one.
  core::Address mAddress;
  std::size_t mMaxConnections = 1024;
  /// Request line and headers together, in bytes.
  std::uint32_t mMaxHeaderBytes = 16 * 1024;
  std::uint64_t mMaxBodyBytes = 64ULL * 1024 * 1024;
  /// Longest time from the first byte of a call to the end of its headers, and
  /// longest pause between two parts of a body.
  core::Duration mHeaderTimeout = std::chrono::seconds(10);
  /// Longest time that a connection stays open between two calls.
  core::Duration mIdleTimeout = std::chrono::seconds(60);
};

} // namespace nutmegrock::transport::http
