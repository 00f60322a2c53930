#pragma once

#include "core/Time.h"

#include <boost/histogram.hpp>

namespace nutmegrock::experiment {

/// Histogram of latencies from 1 us to 100 s, in logarithmic bins 0.5% wide.
class LatencyHistogram
{
public:
  LatencyHistogram();

  void Add(core::Duration aLatency);
  std::size_t Count() const { return mCount; }
  /// Latency quantile in milliseconds, for aShare in [0, 1]; zero if empty.
  double QuantileMs(double aShare) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> mBins;
  std::size_t mCount = 0;
};

} // namespace nutmegrock::experiment
