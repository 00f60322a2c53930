#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>

namespace nutmegrock::node {

/// Clock, timers and random numbers of the call path. Tests pass fakes.
struct Environment
{
  /// Returns the present time.
  std::function<core::TimePoint()> mNow;
  /// Runs a function at the given time, on a thread of the process.
  std::function<void(core::TimePoint, std::function<void()>)> mSchedule;
  /// Returns 64 random bits. Safe from any thread.
  std::function<std::uint64_t()> mRandom;
};

} // namespace nutmegrock::node
