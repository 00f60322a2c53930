#pragma once

#include "core/Time.h"

namespace nutmegrock::retry {

/// Share of the runs at a backend server that are further attempts, or calls of
/// such runs. A call of the server carries nothing that names its run, so this
/// share is the probability that the call belongs to one. Not synchronized.
class RetryShare
{
public:
  /// A run began. aProbability: 1 for a further attempt, otherwise the share at
  /// the server that called.
  void OnRun(core::TimePoint aNow, double aProbability);
  /// The share of late; 0 before the first run.
  double Share() const;

private:
  double mRuns = 0;
  double mRepeats = 0;
  core::TimePoint mDecayedAt;
};

} // namespace nutmegrock::retry
