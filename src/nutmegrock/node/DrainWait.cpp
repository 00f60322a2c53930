#include "node/DrainWait.h"

#include "core/Time.h"

#include <thread>

namespace nutmegrock::node {

namespace {

/// Above the longest timeout of a usual profile.
constexpr std::chrono::seconds kMaxDrain(60);
constexpr std::chrono::milliseconds kQuiet(1000);
constexpr std::chrono::seconds kMaxLinger(4);
constexpr std::chrono::milliseconds kPoll(10);

} // namespace

std::size_t
WaitUntilIdle(const std::function<std::size_t()>& aInFlight)
{
  const core::TimePoint limit = core::Clock::now() + kMaxDrain;
  while (aInFlight() > 0 && core::Clock::now() < limit) {
    std::this_thread::sleep_for(kPoll);
  }
  return aInFlight();
}

void
WaitUntilQuiet(const std::function<std::uint64_t()>& aCalls)
{
  const core::TimePoint limit = core::Clock::now() + kMaxLinger;
  std::uint64_t seen = aCalls();
  core::TimePoint quiet_since = core::Clock::now();
  while (core::Clock::now() < limit &&
         core::Clock::now() < quiet_since + kQuiet) {
    std::this_thread::sleep_for(kPoll);
    if (aCalls() != seen) {
      seen = aCalls();
      quiet_since = core::Clock::now();
    }
  }
}

} // namespace nutmegrock::node
