#include "transport/http/LimitTimer.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::transport::http {

LimitTimer::LimitTimer(const boost::asio::any_io_executor& aStrand,
                       core::Duration aInterval)
  : mTimer(aStrand)
  , mInterval(std::max<core::Duration>(aInterval, std::chrono::milliseconds(1)))
{
}

void
LimitTimer::Start(const std::shared_ptr<void>& aOwner,
                  std::function<void()> aTick,
                  std::function<void()> aExpired)
{
  mOwner = aOwner;
  mTick = std::move(aTick);
  mExpired = std::move(aExpired);
  Wait();
}

void
LimitTimer::Stop()
{
  mStopped = true;
  mTimer.cancel();
}

void
LimitTimer::Wait()
{
  mTimer.expires_after(mInterval);
  mTimer.async_wait([self = shared_from_this(),
                     owner = mOwner.lock()](boost::system::error_code aCode) {
    if (!aCode && !self->mStopped) {
      self->OnInterval();
    }
  });
}

void
LimitTimer::OnInterval()
{
  if (core::Clock::now() < mDeadline) {
    mTick();
    Wait();
    return;
  }
  mStopped = true;
  mExpired();
}

} // namespace nutmegrock::transport::http
