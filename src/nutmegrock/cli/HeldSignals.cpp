#include "cli/HeldSignals.h"

#include <cerrno>
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

} // namespace

void
HeldSignals::Hold() noexcept
{
  const sigset_t set = SetOf({ SIGTERM, SIGINT, SIGHUP });
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void
HeldSignals::Release() noexcept
{
  const sigset_t set = SetOf({ SIGTERM, SIGINT, SIGHUP });
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
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
