#include "node/DrainWait.h"

#include "core/Time.h"

#include <thread>

namespace nutmegrock::node {

namespace {

/// Longer than the timeout of any typical profile.
constexpr std::chrono::seconds kDrainTimeout(60);
constexpr std::chrono::milliseconds kQuietPeriod(1000);
constexpr std::chrono::seconds kMaxQuietWait(4);
constexpr std::chrono::milliseconds kPollInterval(10);

} // namespace

std::size_t
WaitUntilIdle(const std::function<std::size_t()>& aInFlight)
{
  const core::TimePoint limit = core::Clock::now() + kDrainTimeout;
  while (aInFlight() > 0 && core::Clock::now() < limit) {
    std::this_thread::sleep_for(kPollInterval);
  }
  return aInFlight();
}

void
WaitUntilQuiet(const std::function<std::uint64_t()>& aCalls)
{
  const core::TimePoint limit = core::Clock::now() + kMaxQuietWait;
  std::uint64_t seen = aCalls();
  core::TimePoint quiet_since = core::Clock::now();
  while (core::Clock::now() < limit &&
         core::Clock::now() < quiet_since + kQuietPeriod) {
    std::this_thread::sleep_for(kPollInterval);
    if (aCalls() != seen) {
      seen = aCalls();
      quiet_since = core::Clock::now();
    }
  }
}

} // namespace nutmegrock::node
