#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace nutmegrock::transport {

/// Notifies the work done for a call that its caller gave up. Thread-safe.
class Cancellation
{
public:
  /// Runs the registered hooks once; later calls do nothing.
  void Cancel();
  bool IsCancelled() const;
  /// Registers a hook, which runs at once if the call is already cancelled.
  void OnCancel(std::function<void()> aHook);
  /// Drops all hooks, to break reference cycles when the call has ended.
  void Clear();

private:
  mutable std::mutex mMutex;
  bool mCancelled = false;
  std::vector<std::function<void()>> mHooks;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace nutmegrock::transport
