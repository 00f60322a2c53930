#include "standins/standin_backend/SlotPool.h"

#include <algorithm>

namespace nutmegrock::standin_backend {

SlotPool::SlotPool(std::size_t aSlots, std::size_t aQueueLimit)
  : mSlots(aSlots)
  , mQueueLimit(aQueueLimit)
{
}

std::optional<SlotPool::Ticket>
SlotPool::Acquire(std::function<void()> aGranted)
{
  Ticket ticket = 0;
  {
    const std::lock_guard lock(mMutex);
    ticket = mNextTicket++;
    if (mInUse >= mSlots) {
      if (mWaiters.size() >= mQueueLimit) {
        return std::nullopt;
      }
      mWaiters.push_back({ ticket, std::move(aGranted) });
      return ticket;
    }
    ++mInUse;
  }
  aGranted();
  return ticket;
}

bool
SlotPool::Abandon(Ticket aTicket)
{
  const std::lock_guard lock(mMutex);
  const auto found =
    std::find_if(mWaiters.begin(), mWaiters.end(), [aTicket](const Waiter& aW) {
      return aW.mTicket == aTicket;
    });
  if (found == mWaiters.end()) {
    return false;
  }
  mWaiters.erase(found);
  return true;
}

void
SlotPool::Release()
{
  std::function<void()> granted;
  {
    const std::lock_guard lock(mMutex);
    if (mWaiters.empty()) {
      --mInUse;
      return;
    }
    granted = std::move(mWaiters.front().mGranted);
    mWaiters.pop_front();
  }
  granted();
}

std::size_t
SlotPool::InUse() const
{
  const std::lock_guard lock(mMutex);
  return mInUse;
}

std::size_t
SlotPool::Waiting() const
{
  const std::lock_guard lock(mMutex);
  return mWaiters.size();
}

} // namespace nutmegrock::standin_backend
