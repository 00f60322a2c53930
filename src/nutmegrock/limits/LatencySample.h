#pragma once

#include <cstdint>

namespace nutmegrock::limits {

/// Mean and spread of some latencies in seconds.
class LatencySample
{
public:
  void Add(double aSeconds);
  /// Adds the latencies of aOther after halving the weight of those held.
  void Pool(const LatencySample& aOther);
  double Count() const { return mCount; }
  double Mean() const;
  /// Variance of the logarithm of the mean, by the delta method.
  double LogVariance() const;
  /// Whether both means agree within two standard deviations.
  bool Agrees(const LatencySample& aOther) const;

private:
  double mCount = 0;
  double mSum = 0;
  double mSquares = 0;
};

} // namespace nutmegrock::limits
