#pragma once

#include <chrono>

namespace nutmegrock::core {

/// Monotonic clock of one process. Only adapters read it; all other code takes
/// the present time as an argument.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::nanoseconds;

/// Whole microseconds of a duration; the resolution used between nodes.
inline std::int64_t
ToMicros(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

} // namespace nutmegrock::core
