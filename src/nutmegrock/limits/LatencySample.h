#pragma once

#include <cstdint>

namespace nutmegrock::limits {

/// Mean and spread of some latencies in seconds.
class LatencySample
{
public:
  void Add(double aSeconds);
  std::uint32_t Count() const { return mCount; }
  double Mean() const;
  /// Variance of the logarithm of the mean, by the delta method.
  double LogVariance() const;

private:
  std::uint32_t mCount = 0;
  double mSum = 0;
  double mSquares = 0;
};

} // namespace nutmegrock::limits
