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

/// Parameters of one experiment.
struct RunContext
{
  DeploymentSpec mSpec;
  std::uint64_t mSeed = 1;
  /// Time limit of the whole experiment, which divides it among its cases.
  std::chrono::seconds mTimeLimit{ 120 };
  std::string mProgramFolder;
  std::string mProfilesFile;

  /// Options of a deployment with overload control.
  DeploymentOptions Protected() const;
  /// Options of the baseline: no overload control, and three retries at each
  /// hop.
  DeploymentOptions Baseline() const;
  /// Settings of clients that do not resend and use all nodes of a deployment.
  LoadSettings Load(const Deployment& aDeployment,
                    const std::string& aPrefix) const;
  /// Retry budgets of the published profiles, by profile name. Throws
  /// ExperimentError if the profile document cannot be read.
  std::map<std::string, unsigned> RetryBudgets() const;
  /// An empty result of an experiment.
  FigureTable Table(const std::string& aExperiment) const;
};

/// Prints a line to stderr; stdout holds only the result.
void
LogProgress(const std::string& aLine);

/// Logs how many requests of each kind completed, and why the others did not.
void
LogOutcomes(const std::string& aPhase, const LoadSummary& aSummary);

/// Stops the arrivals and waits until the requests in progress have ended, for
/// at most aTimeout.
void
DrainLoad(LoadGenerator& aLoad, std::chrono::seconds aTimeout);

} // namespace nutmegrock::experiment
