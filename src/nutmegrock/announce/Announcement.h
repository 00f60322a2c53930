#pragma once

#include "core/Address.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace nutmegrock::announce {

/// Contents of a backend server's heartbeat.
struct Announcement
{
  /// Identity of the server; usually new with each start.
  std::string mId;
  std::string mService;
  core::Address mAddress;
  /// Number of calls the server runs concurrently.
  std::uint32_t mSlots = 0;
  /// The server requests no new work.
  bool mDraining = false;
  /// Remaining time for which the server is slow after its start.
  std::chrono::milliseconds mWarmUpRemaining{ 0 };
  /// Increases with each heartbeat of one start.
  std::uint64_t mSequence = 0;
  /// Wall-clock start time of the server in milliseconds since 1970;
  /// distinguishes two starts with the same identity. 0: unknown.
  std::int64_t mStartedMs = 0;

  bool operator==(const Announcement&) const = default;
};

} // namespace nutmegrock::announce
