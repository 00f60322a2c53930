#pragma once

#include "core/Time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace nutmegrock::transport::http {

/// Time limit of the present step of a connection, checked at a fixed interval.
/// That costs less than a timer which is set and cancelled with each call, and
/// ends a step at most one interval late. Used on one strand.
class LimitTimer : public std::enable_shared_from_this<LimitTimer>
{
public:
  LimitTimer(const boost::asio::any_io_executor& aStrand,
             core::Duration aInterval);

  /// Runs aTick at each interval, and aExpired once when a limit has passed.
  void Start(std::function<void()> aTick, std::function<void()> aExpired);
  /// Drops both hooks.
  void Stop();
  void Limit(core::Duration aTime) { mLimit = core::Clock::now() + aTime; }
  void Clear() { mLimit = core::TimePoint::max(); }

private:
  void Wait();
  void OnInterval();

  boost::asio::steady_timer mTimer;
  const core::Duration mInterval;
  core::TimePoint mLimit = core::TimePoint::max();
  std::function<void()> mTick;
  std::function<void()> mExpired;
  bool mStopped = false;
};

} // namespace nutmegrock::transport::http
