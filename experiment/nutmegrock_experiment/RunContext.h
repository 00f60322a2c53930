#pragma once

#include "experiment/Deployment.h"
#include "experiment/FigureTable.h"
#include "experiment/LoadGenerator.h"
#include "experiment/LoadSummary.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace nutmegrock::experiment {

/// What one experiment is run with.
struct RunContext
{
  DeploymentSpec mSpec;
  std::uint64_t mSeed = 1;
  /// Bound of the whole experiment; each experiment divides it over its cases.
  std::chrono::seconds mBound{ 120 };
  std::string mProgramFolder;
  std::string mProfilesFile;

  /// Options of a deployment with overload control.
  DeploymentOptions Protected() const;
  /// Options of the baseline: no overload control, three further attempts at
  /// each hop.
  DeploymentOptions Baseline() const;
  /// Settings of patient clients that send to all nodes of a deployment.
  LoadSettings Load(const Deployment& aDeployment,
                    const std::string& aPrefix) const;
  /// Retry budgets of the published profiles, by profile name. Throws
  /// ExperimentError if the document cannot be read.
  std::map<std::string, unsigned> RetryBudgets() const;
  /// An empty result of an experiment.
  FigureTable Table(const std::string& aExperiment) const;
};

/// Progress lines go to stderr; stdout holds only the result.
void
Say(const std::string& aLine);

/// Says how many requests of each kind completed, and why others did not.
void
SayOutcomes(const std::string& aPhase, const LoadSummary& aSummary);

/// Ends the arrivals and waits until the requests in progress have ended, at
/// most for the given time.
void
Settle(LoadGenerator& aLoad, std::chrono::seconds aLimit);

} // namespace nutmegrock::experiment
