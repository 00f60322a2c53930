#pragma once

#include "core/Incarnation.h"
#include "node/Environment.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <thread>
#include <vector>

namespace nutmegrock::node {

/// Returns a random incarnation for this run of the process, never zero.
core::Incarnation
NewIncarnation();

/// Thread pool that runs a node's sockets and timers.
class IoThreads
{
public:
  explicit IoThreads(std::size_t aThreads);
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;
  /// Stops and joins the threads.
  ~IoThreads();

  boost::asio::io_context& Context() { return mContext; }
  /// Returns the real clock, timers on these threads, and random numbers.
  Environment MakeEnvironment();
  /// Stops the threads after the handlers in progress, and joins them.
  void Stop();

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::vector<std::thread> mThreads;
};

} // namespace nutmegrock::node
