#pragma once

#include "core/Time.h"

#include <cstddef>

namespace nutmegrock::profiles {

/// Decides when a node reads the row of the current profiles. All nodes
/// together make about mMeshReads reads per second whatever their number, and
/// no poller is elected, so no failure or partition stops polling.
class PollSchedule
{
public:
  struct Settings
  {
    /// Reads per second of the whole mesh: 2.5% of the store's 2,000.
    double mMeshReads = 50.0;
    /// Shortest mean interval of one node.
    core::Duration mMinInterval = std::chrono::seconds(1);
    /// Largest factor on the interval while the store fails. Small, so that a
    /// publication after an outage is still seen within seconds.
    double mMaxBackOff = 4.0;
  };

  explicit PollSchedule(Settings aSettings)
    : mSettings(aSettings)
  {
  }

  /// Mean interval when aMembers nodes are known, this one included.
  core::Duration MeanInterval(std::size_t aMembers) const;
  /// The next time to read, for a random number aRandom in [0, 1). Intervals
  /// are uniform between half and one and a half times the mean.
  core::TimePoint Next(core::TimePoint aNow,
                       std::size_t aMembers,
                       double aRandom) const;
  /// Records whether a read succeeded; failures double the interval.
  void OnRead(bool aSucceeded);

private:
  Settings mSettings;
  double mBackOff = 1.0;
};

} // namespace nutmegrock::profiles
