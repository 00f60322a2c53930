#pragma once

#include "core/Time.h"
#include "transport/Call.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace nutmegrock::tests {

/// Timeout of all waits; far above what a busy machine needs.
constexpr auto kWaitTimeout = std::chrono::seconds(60);

/// An io_context run by a number of threads until the end of a test.
class Loop
{
public:
  explicit Loop(unsigned aThreads = 2)
  {
    for (unsigned i = 0; i < aThreads; ++i) {
      mThreads.emplace_back([this] { mIo.run(); });
    }
  }
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;
  ~Loop()
  {
    mIo.stop();
    for (auto& thread : mThreads) {
      thread.join();
    }
  }

  boost::asio::io_context& Io() { return mIo; }

private:
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork{ mIo.get_executor() };
  std::vector<std::thread> mThreads;
};

/// A value that another thread sets and the test waits for.
template<class T>
class Awaited
{
public:
  void Set(T aValue)
  {
    const std::lock_guard lock(mMutex);
    ++mSetCount;
    mValue.emplace(std::move(aValue));
    mChanged.notify_all();
  }
  /// Returns the value, or nothing after kWaitTimeout.
  std::optional<T> Get()
  {
    std::unique_lock lock(mMutex);
    mChanged.wait_for(
      lock, kWaitTimeout, [this] { return mValue.has_value(); });
    return std::exchange(mValue, std::nullopt);
  }
  int SetCount()
  {
    const std::lock_guard lock(mMutex);
    return mSetCount;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::optional<T> mValue;
  int mSetCount = 0;
};

/// Waits until a condition holds; returns false after kWaitTimeout.
inline bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

inline core::TimePoint
FarDeadline()
{
  return core::Clock::now() + kWaitTimeout;
}

} // namespace nutmegrock::tests
