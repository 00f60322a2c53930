#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace nutmegrock::proxy {

/// Counts the memory that requests and responses in transit take in a process,
/// and reports when it exceeds a limit. Used on one thread.
class BufferBudget
{
public:
  /// aOnExceeded runs once when the limit is exceeded, and again only after
  /// Rearm(). It may run in the middle of a request, so it must not close one.
  BufferBudget(std::size_t aLimit, std::function<void()> aOnExceeded)
    : mLimit(aLimit)
    , mOnExceeded(std::move(aOnExceeded))
  {
  }

  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }
  /// A holder has changed from aBefore to aAfter bytes.
  void Change(std::size_t aBefore, std::size_t aAfter)
  {
    mUsed = mUsed - aBefore + aAfter;
    if (mUsed > mLimit && !std::exchange(mReported, true)) {
      mOnExceeded();
    }
  }
  void Rearm() { mReported = false; }
  std::size_t Used() const { return mUsed; }
  std::size_t Limit() const { return mLimit; }
  /// Returns true if half of the limit is used. What is kept only to be of use
  /// later is then given up.
  bool IsTight() const { return mUsed > mLimit / 2; }

private:
  std::size_t mLimit;
  const std::function<void()> mOnExceeded;
  std::size_t mUsed = 0;
  bool mReported = false;
};

} // namespace nutmegrock::proxy
