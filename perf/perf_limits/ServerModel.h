#pragma once

#include <algorithm>
#include <cmath>

namespace nutmegrock::perf {

/// Closed-form model of a backend server: latency as a function of the calls in
/// flight. Up to mWorkers calls take mSeconds each; more calls share the
/// workers.
struct ServerModel
{
  double mWorkers = 100;
  double mSeconds = 0.02;
  /// 1: extra calls queue without loss of throughput. Above 1: throughput falls
  /// when more calls than workers are in flight.
  double mExponent = 1;
  /// Share by which latency grows from 0 to mWorkers calls in flight.
  double mSlope = 0;
  /// Refuses calls above mWorkers instead of queueing them.
  bool mSheds = false;

  /// Mean latency in seconds with aInFlight calls.
  double Latency(double aInFlight) const
  {
    const double share = aInFlight / mWorkers;
    return mSeconds * (1 + mSlope * std::min(share, 1.0)) *
           std::pow(std::max(share, 1.0), mExponent);
  }
  /// Throughput in calls per second with aInFlight calls.
  double Throughput(double aInFlight) const
  {
    return aInFlight / Latency(aInFlight);
  }
};

} // namespace nutmegrock::perf
