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
constexpr double kStartSeconds = 15.0;
// Shares of the measured time; the longest part is the observation.
constexpr double kNormalShare = 0.2;
constexpr double kCauseShare = 0.3;

core::Duration
Seconds(double aSeconds)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds));
}

/// Clients retry in all phases, so that only the cause itself ends.
double
Measure(const RunContext& aContext, bool aBaseline, double aLength)
{
  Deployment deployment(aBaseline ? aContext.Baseline() : aContext.Protected());
  const DeploymentSpec& spec = deployment.Spec();
  const double capacity = IdealCapacity(spec).Capacity();
  LoadSettings settings = aContext.Load(deployment, "recovery");
  settings.mClient.mResends = kClientResends;
  LoadGenerator load(settings);
  load.SetRate(kNormalDemand * capacity);
  Pause(Seconds(3.0));
  const double normal_from = load.Seconds();
  Pause(Seconds(kNormalShare * aLength));
  const double normal_to = load.Seconds();
  load.SetRate(kCauseDemand * capacity);
  deployment.Control(spec.mDeepService, R"({"slowdown":5})");
  Pause(Seconds(kCauseShare * aLength));
  deployment.Control(spec.mDeepService, R"({"slowdown":1})");
  load.SetRate(kNormalDemand * capacity);
  const double cause_end = load.Seconds();
  Pause(Seconds((1.0 - kNormalShare - kCauseShare) * aLength));
  const double end = load.Seconds();
  Settle(load, std::chrono::seconds(5));
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
  const double bound = static_cast<double>(aContext.mBound.count());
  const double length = std::clamp(bound / 2 - kStartSeconds, 20.0, 60.0);
  FigureTable table = aContext.Table("recovery");
  table.Add("length", length, "s");
  for (const bool baseline : { false, true }) {
    Say(baseline ? "baseline" : "overload control");
    const double seconds = Measure(aContext, baseline, length);
    if (baseline) {
      table.Add("baseline.recovery", seconds, "s");
    } else {
      table.Add(
        "recovery", seconds, "s", Target{ Comparison::AtMost, kTargetSeconds });
    }
  }
  return table;
}

} // namespace nutmegrock::experiment
