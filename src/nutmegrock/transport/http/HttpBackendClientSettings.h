#pragma once

#include "core/Address.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace nutmegrock::transport::http {

/// Settings of an HttpBackendClient.
struct HttpBackendClientSettings
{
  core::Address mAddress;
  std::size_t mMaxConnections = 1024;
  core::Duration mConnectTimeout = std::chrono::seconds(1);
  /// Maximum size of a response head in bytes.
  std::uint32_t mMaxHeaderBytes = 64 * 1024;
};

} // namespace nutmegrock::transport::http
