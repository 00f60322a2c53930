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
LimitTimer::Start(std::function<void()> aTick, std::function<void()> aExpired)
{
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
  mTimer.async_wait(
    [self = shared_from_this()](boost::system::error_code aCode) {
      if (aCode || self->mStopped) {
        // Dropped here and not in Stop(), which a hook may have called.
        self->mTick = {};
        self->mExpired = {};
        return;
      }
      self->OnInterval();
    });
}

void
LimitTimer::OnInterval()
{
  if (core::Clock::now() < mLimit) {
    mTick();
    Wait();
    return;
  }
  const auto expired = std::exchange(mExpired, {});
  mTick = {};
  mStopped = true;
  expired();
}

} // namespace nutmegrock::transport::http
