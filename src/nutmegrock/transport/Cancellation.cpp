#include "transport/Cancellation.h"

#include <utility>

namespace nutmegrock::transport {

void
Cancellation::Cancel()
{
  std::vector<std::function<void()>> callbacks;
  {
    const std::lock_guard lock(mMutex);
    if (mCancelled) {
      return;
    }
    mCancelled = true;
    callbacks.swap(mCallbacks);
  }
  for (const auto& callback : callbacks) {
    callback();
  }
}

bool
Cancellation::IsCancelled() const
{
  const std::lock_guard lock(mMutex);
  return mCancelled;
}

void
Cancellation::OnCancel(std::function<void()> aCallback)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mCancelled) {
      mCallbacks.push_back(std::move(aCallback));
      return;
    }
  }
  aCallback();
}

void
Cancellation::Clear()
{
  std::vector<std::function<void()>> callbacks;
  const std::lock_guard lock(mMutex);
  callbacks.swap(mCallbacks);
}

} // namespace nutmegrock::transport
