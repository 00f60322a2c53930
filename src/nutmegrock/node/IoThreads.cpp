#include "node/IoThreads.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <utility>

namespace nutmegrock::node {

namespace {

std::uint64_t
RandomBits()
{
  thread_local std::mt19937_64 sEngine = [] {
    std::random_device device;
    std::seed_seq seed{ device(), device(), device(), device() };
    return std::mt19937_64(seed);
  }();
  return sEngine();
}

} // namespace

core::Incarnation
NewIncarnation()
{
  std::random_device device;
  const auto high = static_cast<std::uint64_t>(device());
  // The lowest bit is set since zero means an unknown incarnation.
  return { (high << 32U) | device() | 1U };
}

IoThreads::IoThreads(std::size_t aThreads)
  : mContext(static_cast<int>(aThreads))
  , mWork(mContext.get_executor())
{
  for (std::size_t i = 0; i < aThreads; ++i) {
    mThreads.emplace_back([this] { mContext.run(); });
  }
}

IoThreads::~IoThreads()
{
  Stop();
}

void
IoThreads::Stop()
{
  mWork.reset();
  mContext.stop();
  for (std::thread& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

Environment
IoThreads::MakeEnvironment()
{
  Environment environment;
  environment.mNow = [] { return core::Clock::now(); };
  environment.mRandom = RandomBits;
  environment.mSchedule = [this](core::TimePoint aTime,
                                 std::function<void()> aFunction) {
    auto timer = std::make_shared<boost::asio::steady_timer>(mContext, aTime);
    timer->async_wait([timer, function = std::move(aFunction)](
                        const boost::system::error_code& aCode) {
      if (!aCode) {
        function();
      }
    });
  };
  return environment;
}

} // namespace nutmegrock::node
