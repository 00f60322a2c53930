#pragma once

#include <chrono>

namespace nutmegrock::cli {

/// Holds the signals that control a node (SIGTERM, SIGINT, SIGHUP) until the
/// node handles them, so that none of them ends a process that is starting. A
/// held signal stays pending and is delivered on release.
class HeldSignals
{
public:
  /// Holds the signals for this thread and those that it starts. Only makes one
  /// system call, so it can run before the initializers of libraries.
  static void Hold() noexcept;
  /// Delivers what is pending to the handlers in place. Threads that were
  /// started before go on holding the signals.
  static void Release() noexcept;
  /// Waits for a signal to stop while signals are held. Returns true and
  /// consumes it if one is pending or arrives within the time.
  static bool WaitForStop(std::chrono::milliseconds aTime);
};

} // namespace nutmegrock::cli
