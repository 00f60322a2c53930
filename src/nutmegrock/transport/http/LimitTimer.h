#pragma once

#include "core/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace nutmegrock::transport::http {

/// Timeout of the current step of a connection, checked at a fixed interval.
/// This costs less than a timer that is set and cancelled for each call, and
/// fires at most one interval late. Used on one strand.
class LimitTimer : public std::enable_shared_from_this<LimitTimer>
{
public:
  LimitTimer(const boost::asio::any_io_executor& aStrand,
             core::Duration aInterval);

  /// Runs aTick at each interval, and aExpired once after a timeout. Keeps the
  /// owner, which the hooks may use, alive until stopped.
  void Start(const std::shared_ptr<void>& aOwner,
             std::function<void()> aTick,
             std::function<void()> aExpired);
  void Stop();
  void SetTimeout(core::Duration aTime)
  {
    mDeadline = core::Clock::now() + aTime;
  }
  void Clear() { mDeadline = core::TimePoint::max(); }

private:
  void Wait();
  void OnInterval();

  boost::asio::steady_timer mTimer;
  const core::Duration mInterval;
  core::TimePoint mDeadline = core::TimePoint::max();
  /// Weak, since the owner holds this timer; the pending wait holds the strong
  /// reference.
  std::weak_ptr<void> mOwner;
  std::function<void()> mTick;
  std::function<void()> mExpired;
  bool mStopped = false;
};

} // namespace nutmegrock::transport::http
