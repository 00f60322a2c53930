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
  /// Runs the registered callbacks once; later calls do nothing.
  void Cancel();
  bool IsCancelled() const;
  /// Registers a callback, which runs at once if the call is already cancelled.
  void OnCancel(std::function<void()> aCallback);
  /// Drops all callbacks, to break reference cycles when the call has ended.
  void Clear();

private:
  mutable std::mutex mMutex;
  bool mCancelled = false;
  std::vector<std::function<void()>> mCallbacks;
};

using CancellationPtr = std::shared_ptr<Cancellation>;

} // namespace nutmegrock::transport
