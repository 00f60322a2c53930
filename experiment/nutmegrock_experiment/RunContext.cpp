#include "experiment/nutmegrock_experiment/RunContext.h"

#include "experiment/Interrupt.h"
#include "profiles/ProfileDocument.h"
#include "settings/SettingsFile.h"

#include <cstdio>

namespace nutmegrock::experiment {

namespace {

constexpr unsigned kBaselineRetries = 3;
constexpr std::chrono::milliseconds kDrainPollInterval{ 50 };

} // namespace

DeploymentOptions
RunContext::Protected() const
{
  DeploymentOptions options;
  options.mSpec = mSpec;
  options.mSeed = mSeed;
  options.mProgramFolder = mProgramFolder;
  options.mProfilesFile = mProfilesFile;
  return options;
}

DeploymentOptions
RunContext::Baseline() const
{
  DeploymentOptions options = Protected();
  options.mOverloadEnabled = false;
  options.mUnboundedRetries = kBaselineRetries;
  return options;
}

LoadSettings
RunContext::Load(const Deployment& aDeployment,
                 const std::string& aPrefix) const
{
  LoadSettings settings;
  settings.mSpec = aDeployment.Spec();
  settings.mEntryNodes = aDeployment.Entries();
  settings.mSeed = mSeed;
  settings.mPrefix = aPrefix + "-" + std::to_string(mSeed) + "-";
  return settings;
}

std::map<std::string, unsigned>
RunContext::RetryBudgets() const
{
  const auto text = settings::ReadTextFile(mProfilesFile);
  if (!text) {
    throw ExperimentError(text.error().mMessage);
  }
  const auto set = profiles::ProfileDocument::Parse(*text, 1);
  if (!set) {
    throw ExperimentError(set.error().mMessage);
  }
  std::map<std::string, unsigned> budgets;
  for (const auto& [name, profile] : set->mProfiles) {
    budgets[name] = profile.mRetryBudget;
  }
  return budgets;
}

FigureTable
RunContext::Table(const std::string& aExperiment) const
{
  return { aExperiment, mSpec.mName, mSeed, {} };
}

void
LogProgress(const std::string& aLine)
{
  std::fprintf(stderr, "%s\n", aLine.c_str());
}

void
LogOutcomes(const std::string& aPhase, const LoadSummary& aSummary)
{
  for (const KindSummary& kind : aSummary.Kinds()) {
    std::string line = "  " + aPhase + ": " + kind.mName + " " +
                       std::to_string(kind.mCompleted) + " of " +
                       std::to_string(kind.mOffered);
    for (const auto& [reason, count] : kind.mReasons) {
      line += ", " + reason + " " + std::to_string(count);
    }
    LogProgress(line);
  }
}

void
DrainLoad(LoadGenerator& aLoad, std::chrono::seconds aTimeout)
{
  aLoad.SetRate(0.0);
  const auto end = core::Clock::now() + aTimeout;
  while (aLoad.InProgress() > 0 && core::Clock::now() < end) {
    Pause(kDrainPollInterval);
  }
}

} // namespace nutmegrock::experiment
