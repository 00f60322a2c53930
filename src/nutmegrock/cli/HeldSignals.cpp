#include "cli/HeldSignals.h"

#include <csignal>
#include <ctime>
#include <initializer_list>

namespace nutmegrock::cli {

namespace {

sigset_t
SetOf(std::initializer_list<int> aSignals) noexcept
{
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : aSignals) {
    sigaddset(&set, signal);
  }
  return set;
}

void
ChangeMask(int aHow) noexcept
{
  const sigset_t set = SetOf({ SIGTERM, SIGINT, SIGHUP });
  pthread_sigmask(aHow, &set, nullptr);
}

} // namespace

void
HeldSignals::Hold() noexcept
{
  ChangeMask(SIG_BLOCK);
}

void
HeldSignals::Release() noexcept
{
  ChangeMask(SIG_UNBLOCK);
}

bool
HeldSignals::WaitForStop(std::chrono::milliseconds aTime)
{
  const sigset_t set = SetOf({ SIGTERM, SIGINT });
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(aTime);
  const std::chrono::nanoseconds rest = aTime - seconds;
  const timespec time{ static_cast<std::time_t>(seconds.count()),
                       static_cast<long>(rest.count()) };
  return sigtimedwait(&set, nullptr, &time) > 0;
}

} // namespace nutmegrock::cli
