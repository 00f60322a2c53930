#include "experiment/Interrupt.h"
#include "experiment/LoadSummary.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

namespace nutmegrock::experiment {

namespace {

// Requests/s; half of them go to the backend server directly.
constexpr double kRate = 1000.0;
constexpr double kTargetMs = 0.5;
constexpr std::chrono::seconds kWarmUp{ 3 };
constexpr std::chrono::seconds kMax{ 20 };

/// Two services with one instance each and zero service time, and only the
/// first request kind, without nested calls. Two thousand requests/s pass
/// through one server, so the slots are not scaled down.
DeploymentSpec
TwoInstances(const DeploymentSpec& aSpec)
{
  DeploymentSpec spec = aSpec;
  spec.mServices.resize(2);
  for (ServiceSpec& service : spec.mServices) {
    service.mServers = 1;
    service.mSlots *= static_cast<std::size_t>(DeploymentSpec::kScale);
    service.mConnections *= static_cast<std::size_t>(DeploymentSpec::kScale);
    service.mMeanSeconds = 0.0;
  }
  spec.mKinds.resize(1);
  spec.mKinds[0].mPlan = Plan{};
  spec.mKinds[0].mShare = 1.0;
  spec.mClientLatency = std::chrono::microseconds(0);
  return spec;
}

void
AddQuantiles(FigureTable& aTable,
             const LatencyHistogram& aDirect,
             const LatencyHistogram& aThrough)
{
  const auto added = [&](double aShare) {
    return aThrough.QuantileMs(aShare) - aDirect.QuantileMs(aShare);
  };
  aTable.Add("direct_p50", aDirect.QuantileMs(0.5), "ms");
  aTable.Add("direct_p99", aDirect.QuantileMs(0.99), "ms");
  aTable.Add("through_p50", aThrough.QuantileMs(0.5), "ms");
  aTable.Add("through_p99", aThrough.QuantileMs(0.99), "ms");
  aTable.Add("added_p50", added(0.5), "ms");
  aTable.Add(
    "added_p99", added(0.99), "ms", Target{ Comparison::AtMost, kTargetMs });
}

} // namespace

FigureTable
RunLatency(const RunContext& aContext)
{
  DeploymentOptions options = aContext.Protected();
  options.mSpec = TwoInstances(aContext.mSpec);
  Deployment deployment(options);
  Instance& target = deployment.Instances().at(0);
  const Instance& entry = deployment.Instances().at(1);

  LoadSettings through = aContext.Load(deployment, "through");
  through.mEntryNodes = { entry.mCaller };
  through.mThreads = 1;
  LoadSettings direct = through;
  direct.mEntryNodes = { target.mServerAddress };
  direct.mPrefix = "direct-";
  direct.mSeed += 1;
  direct.mDirect = true;

  LoadGenerator through_load(through);
  LoadGenerator direct_load(direct);
  through_load.SetRate(kRate);
  direct_load.SetRate(kRate);
  Pause(kWarmUp);
  const double from = through_load.ElapsedSeconds();
  const double cpu_before = deployment.NodeCpuSeconds();
  Pause(std::min(kMax, aContext.mTimeLimit));
  const double to = through_load.ElapsedSeconds();
  const double cpu = deployment.NodeCpuSeconds() - cpu_before;
  DrainLoad(through_load, std::chrono::seconds(5));
  DrainLoad(direct_load, std::chrono::seconds(5));

  const LoadSummary through_summary(
    options.mSpec.mKinds, through_load.RecordsWithUnfinished(), from, to);
  const LoadSummary direct_summary(
    options.mSpec.mKinds, direct_load.RecordsWithUnfinished(), from, to);
  FigureTable table = aContext.Table("latency");
  AddQuantiles(table,
               direct_summary.Kinds()[0].mLatencies,
               through_summary.Kinds()[0].mLatencies);
  table.Add("requests_per_second", through_summary.Goodput(), "1/s");
  table.Add("requests_per_core",
            static_cast<double>(through_summary.Completed()) / cpu,
            "1/s of node processor time, both nodes");
  table.Add("not_completed",
            static_cast<double>(through_summary.Offered() -
                                through_summary.Completed()),
            "requests",
            Target{ Comparison::AtMost, 0 });
  return table;
}

} // namespace nutmegrock::experiment
