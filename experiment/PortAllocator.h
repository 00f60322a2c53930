#pragma once

#include "core/Address.h"

#include <cstdint>

namespace nutmegrock::experiment {

/// Finds ports of 127.0.0.1 that are free for TCP and UDP. The range lies below
/// the one from which Linux takes the ports of outgoing connections, so that
/// those cannot occupy a port between the check and its use.
class PortAllocator
{
public:
  static constexpr std::uint16_t kFirst = 12000;
  static constexpr std::uint16_t kLast = 31999;

  /// Starts at a position derived from the seed, so that tools that run at
  /// the same time rarely try the same ports.
  explicit PortAllocator(std::uint64_t aSeed);

  /// Fails with Internal if no port of the range is free.
  core::Expected<core::Address> Next();

private:
  std::uint16_t mNext;
};

} // namespace nutmegrock::experiment
