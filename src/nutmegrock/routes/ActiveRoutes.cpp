#include "routes/ActiveRoutes.h"

#include <utility>

namespace nutmegrock::routes {

RouteSetPtr
ActiveRoutes::Current() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent;
}

std::uint64_t
ActiveRoutes::Version() const
{
  const std::lock_guard lock(mMutex);
  return mCurrent ? mCurrent->Version() : 0;
}

bool
ActiveRoutes::Activate(const RouteSetPtr& aSet)
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
ActiveRoutes::OnChange(Listener aListener)
{
  mListener = std::move(aListener);
}

} // namespace nutmegrock::routes
