#pragma once

#include <cstdint>

namespace nutmegrock::limits {

/// Mean and variance of latencies in seconds.
class LatencySample
{
public:
  void Add(double aSeconds);
  /// Halves the weight of the present latencies, then adds those of aOther.
  void Pool(const LatencySample& aOther);
  double Count() const { return mCount; }
  double Mean() const;
  /// Variance of the logarithm of the mean, by the delta method.
  double LogVariance() const;
  /// Returns true if both means agree within two standard deviations.
  bool Agrees(const LatencySample& aOther) const;

private:
  double mCount = 0;
  double mSum = 0;
  double mSquares = 0;
};

} // namespace nutmegrock::limits
