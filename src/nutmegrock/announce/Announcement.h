#pragma once

#include "core/Address.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace nutmegrock::announce {

/// What a backend server says of itself in a heartbeat.
struct Announcement
{
  /// Identity of the server; mostly new with each start.
  std::string mId;
  std::string mService;
  core::Address mAddress;
  /// Calls it runs at once.
  std::uint32_t mSlots = 0;
  /// It asks for no new work.
  bool mDraining = false;
  /// How much longer it is slow after its start.
  std::chrono::milliseconds mWarmUpLeft{ 0 };
  /// Rises with each heartbeat of one start.
  std::uint64_t mSequence = 0;
  /// Wall-clock start of the server in milliseconds since 1970; tells apart two
  /// starts with the same identity. 0: not said.
  std::int64_t mStartedMs = 0;

  bool operator==(const Announcement&) const = default;
};

} // namespace nutmegrock::announce
