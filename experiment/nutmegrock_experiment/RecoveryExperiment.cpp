#include "experiment/IdealCapacity.h"
#include "experiment/Interrupt.h"
#include "experiment/LoadSummary.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <algorithm>

namespace nutmegrock::experiment {

namespace {

constexpr unsigned kClientResends = 5;
constexpr double kNormalDemand = 0.7;
constexpr double kCauseDemand = 2.0;
constexpr double kTargetSeconds = 3.0;
constexpr double kRecoveredShare = 0.95;
constexpr double kStartSeconds = 12.0;
// Shares of the measured time; the remaining half observes the recovery.
constexpr double kNormalShare = 0.2;
constexpr double kCauseShare = 0.3;

core::Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

struct Cause
{
  std::string mName;
  double mDemand = kNormalDemand;
  /// Fault switches of the deep service during and after the cause.
  std::string mStart;
  std::string mEnd;
};

const std::vector<Cause>&
Causes()
{
  static const std::vector<Cause> sCauses{
    { "overload", kCauseDemand, R"({"slowdown":5})", R"({"slowdown":1})" },
    { "full_failure", kNormalDemand, R"({"shed":1})", R"({"shed":0})" },
  };
  return sCauses;
}

/// Returns the recovery time in seconds. Clients retry in all phases, so that
/// only the cause itself ends.
double
Measure(const RunContext& aContext,
        const Cause& aCause,
        bool aBaseline,
        double aLength)
{
  Deployment deployment(aBaseline ? aContext.Baseline() : aContext.Protected());
  const DeploymentSpec& spec = deployment.Spec();
  const double capacity = IdealCapacity(spec).Capacity();
  LoadSettings settings = aContext.Load(deployment, "recovery");
  settings.mClient.mResends = kClientResends;
  LoadGenerator load(settings);
  load.SetRate(kNormalDemand * capacity);
  Pause(Seconds(3.0));
  const double normal_from = load.ElapsedSeconds();
  Pause(Seconds(kNormalShare * aLength));
  const double normal_to = load.ElapsedSeconds();
  load.SetRate(aCause.mDemand * capacity);
  deployment.SetFaults(spec.mDeepService, aCause.mStart);
  Pause(Seconds(kCauseShare * aLength));
  deployment.SetFaults(spec.mDeepService, aCause.mEnd);
  load.SetRate(kNormalDemand * capacity);
  const double cause_end = load.ElapsedSeconds();
  Pause(Seconds((1.0 - kNormalShare - kCauseShare) * aLength));
  const double end = load.ElapsedSeconds();
  DrainLoad(load, std::chrono::seconds(5));
  return RecoverySeconds(load.RecordsWithUnfinished(),
                         normal_from,
                         normal_to,
                         cause_end,
                         end,
                         kRecoveredShare);
}

} // namespace

FigureTable
RunRecovery(const RunContext& aContext)
{
  const double time_limit = static_cast<double>(aContext.mTimeLimit.count());
  const double length = std::clamp(time_limit / 4 - kStartSeconds, 12.0, 60.0);
  FigureTable table = aContext.Table("recovery");
  table.Add("length", length, "s");
  for (const Cause& cause : Causes()) {
    for (const bool baseline : { false, true }) {
      LogProgress(cause.mName + (baseline ? ", baseline" : ""));
      const double seconds = Measure(aContext, cause, baseline, length);
      table.Add(
        cause.mName + (baseline ? ".baseline.recovery" : ".recovery"),
        seconds,
        "s",
        baseline ? std::nullopt
                 : std::optional(Target{ Comparison::AtMost, kTargetSeconds }));
    }
  }
  return table;
}

} // namespace nutmegrock::experiment
