#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>

namespace nutmegrock::cli {

/// Writes log lines to a file descriptor without blocking. A line that does not
/// fit is dropped and counted; the next line that fits reports the number of
/// lost lines.
class LossySink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  /// Makes the descriptor non-blocking; does not close it.
  explicit LossySink(int aDescriptor);

  std::uint64_t Dropped() const { return mDropped; }

protected:
  // NOLINTBEGIN(readability-identifier-naming): names of the base class.
  void sink_it_(const spdlog::details::log_msg& aMessage) override;
  void flush_() override {}
  // NOLINTEND(readability-identifier-naming)

private:
  bool WriteLine(const char* aBytes, std::size_t aSize);

  const int mDescriptor;
  /// The last line was written only in part and has to be ended first.
  bool mPartialLine = false;
  std::uint64_t mUnreported = 0;
  std::atomic<std::uint64_t> mDropped{ 0 };
};

} // namespace nutmegrock::cli
