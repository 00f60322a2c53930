#pragma once

#include "core/Address.h"

#include <cstdint>

namespace nutmegrock::experiment {

/// Finds ports of 127.0.0.1 that are free for TCP and UDP. The range is below
/// the ephemeral ports of Linux, so that outgoing connections cannot occupy a
/// port between the check and its use.
class PortAllocator
{
public:
  static constexpr std::uint16_t kFirst = 12000;
  static constexpr std::uint16_t kLast = 31999;

  /// Starts at a port derived from the seed, so that concurrent runs rarely try
  /// the same ports.
  explicit PortAllocator(std::uint64_t aSeed);

  /// Fails with Internal if no port of the range is free.
  core::Expected<core::Address> Next();

private:
  std::uint16_t mNext;
};

} // namespace nutmegrock::experiment
