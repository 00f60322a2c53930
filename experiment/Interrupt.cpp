#include "experiment/Interrupt.h"

#include <algorithm>
#include <csignal>
#include <thread>

namespace nutmegrock::experiment {

namespace {

volatile std::sig_atomic_t sInterrupted = 0;
constexpr std::chrono::milliseconds kPollInterval{ 20 };

} // namespace

void
InstallInterruptHandler()
{
  struct sigaction action = {};
  action.sa_handler = [](int) { sInterrupted = 1; };
  ::sigaction(SIGINT, &action, nullptr);
  ::sigaction(SIGTERM, &action, nullptr);
}

void
Pause(core::Duration aDuration)
{
  const auto end = core::Clock::now() + aDuration;
  for (;;) {
    if (sInterrupted != 0) {
      throw ExperimentError("interrupted");
    }
    const auto now = core::Clock::now();
    if (now >= end) {
      return;
    }
    std::this_thread::sleep_for(
      std::min<core::Duration>(end - now, core::Duration(kPollInterval)));
  }
}

} // namespace nutmegrock::experiment
