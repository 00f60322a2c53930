#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace nutmegrock::tests {

/// An io_context that runs on a thread of its own.
class IoThread
{
public:
  IoThread()
    : mWork(boost::asio::make_work_guard(mIo))
    , mThread([this] { mIo.run(); })
  {
  }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;
  ~IoThread()
  {
    mIo.stop();
    mThread.join();
  }
  boost::asio::io_context& Io() { return mIo; }
  /// Runs a function on the thread and waits until it returns.
  template<class Function>
  void Run(Function aFunction)
  {
    std::promise<void> done;
    boost::asio::post(mIo, [&] {
      aFunction();
      done.set_value();
    });
    done.get_future().wait();
  }

private:
  boost::asio::io_context mIo;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWork;
  std::thread mThread;
};

} // namespace nutmegrock::tests
