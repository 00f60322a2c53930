#include "routes/RouteHolder.h"

#include <utility>

namespace nutmegrock::routes {

RouteSetPtr
RouteHolder::Current() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

std::uint64_t
RouteHolder::Version() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent ? mCurrent->Version() : 0;
}

bool
RouteHolder::Adopt(const RouteSetPtr& aSet)
{
  {
    const std::lock_guard lock(mMutex);
    if (!aSet || (mCurrent && aSet->Version() <= mCurrent->Version())) {
      return false;
    }
    mCurrent = aSet;
  }
  if (mListener) {
    mListener(aSet);
  }
  return true;
}

void
RouteHolder::OnChange(Listener aListener)
{
  mListener = std::move(aListener);
}

} // namespace nutmegrock::routes
