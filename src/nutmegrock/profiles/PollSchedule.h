#pragma once

#include "core/Time.h"

#include <cstddef>

namespace nutmegrock::profiles {

/// Schedules the reads of the row of the current profiles by a node. All nodes
/// together make about mMeshReads reads per second regardless of their number.
/// No poller is elected, so no failure or partition stops polling.
class PollSchedule
{
public:
  struct Settings
  {
    /// Reads per second of the whole mesh: 2.5% of the 2,000 of the store.
    double mMeshReads = 50.0;
    /// Minimum mean interval of one node.
    core::Duration mMinInterval = std::chrono::seconds(1);
    /// Maximum backoff factor of the interval while the store fails. Small, so
    /// that a publication after an outage is detected within seconds.
    double mMaxBackOff = 4.0;
  };

  explicit PollSchedule(Settings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Mean interval with aMembers known nodes, this one included.
  core::Duration MeanInterval(std::size_t aMembers) const;
  /// Time of the next read for a random number aRandom in [0, 1). Intervals are
  /// uniform between 0.5 and 1.5 times the mean.
  core::TimePoint Next(core::TimePoint aNow,
                       std::size_t aMembers,
                       double aRandom) const;
  /// Records whether a read succeeded; each failure doubles the interval.
  void OnRead(bool aSucceeded);

private:
  Settings mSettings;
  double mBackOff = 1.0;
};

} // namespace nutmegrock::profiles
