#pragma once

#include "core/Time.h"

#include <cstdint>
#include <functional>

namespace nutmegrock::node {

/// What the call path needs from its process. Tests pass fakes.
struct Environment
{
  /// The present time.
  std::function<core::TimePoint()> mNow;
  /// Runs a function at a time, on a thread of the process.
  std::function<void(core::TimePoint, std::function<void()>)> mAt;
  /// 64 random bits. Safe from any thread.
  std::function<std::uint64_t()> mRandom;
};

} // namespace nutmegrock::node
