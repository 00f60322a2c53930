#include "transport/Cancellation.h"

#include <utility>

namespace nutmegrock::transport {

void
Cancellation::Cancel()
{
  std::vector<std::function<void()>> hooks;
  {
    const std::lock_guard lock(mMutex);
    if (mCancelled) {
      return;
    }
    mCancelled = true;
    hooks.swap(mHooks);
  }
  for (const auto& hook : hooks) {
    hook();
  }
}

bool
Cancellation::IsCancelled() const
{
  const std::lock_guard lock(mMutex);
  return mCancelled;
}

void
Cancellation::OnCancel(std::function<void()> aHook)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mCancelled) {
      mHooks.push_back(std::move(aHook));
      return;
    }
  }
  aHook();
}

void
Cancellation::Clear()
{
  std::vector<std::function<void()>> hooks;
  const std::lock_guard lock(mMutex);
  hooks.swap(mHooks);
}

} // namespace nutmegrock::transport
