#pragma once

#include "core/Time.h"

namespace nutmegrock::retry {

/// Share of the runs at a backend server that are retries, or calls of such
/// runs. A call of the server does not identify its run, so this share is the
/// probability that the call belongs to a retry. Not synchronized.
class RetryShare
{
public:
  /// A run started. aProbability is 1 for a retry, otherwise the share at the
  /// calling server.
  void OnRun(core::TimePoint aNow, double aProbability);
  /// The recent share; 0 before the first run.
  double Share() const;

private:
  double mRuns = 0;
  double mRetries = 0;
  core::TimePoint mDecayedAt;
};

} // namespace nutmegrock::retry
