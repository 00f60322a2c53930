#pragma once

#include "core/Incarnation.h"
#include "node/Environment.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <thread>
#include <vector>

namespace nutmegrock::node {

/// A random identity for this run of the process.
core::Incarnation
NewIncarnation();

/// The threads that run a node's sockets and timers.
class IoThreads
{
public:
  explicit IoThreads(std::size_t aThreads);
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;
  /// Stops and joins the threads.
  ~IoThreads();

  boost::asio::io_context& Context() { return mContext; }
  /// The real clock, timers of the threads, and random numbers.
  Environment MakeEnvironment();
  /// Ends the threads after the handlers under way.
  void Stop();

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::vector<std::thread> mThreads;
};

} // namespace nutmegrock::node
