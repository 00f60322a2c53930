#include "experiment/ControlClient.h"
#include "experiment/IdealCapacity.h"
#include "experiment/Interrupt.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <algorithm>
#include <cpprest/json.h>
#include <csignal>

namespace nutmegrock::experiment {

namespace {

constexpr double kDemand = 0.6;
constexpr std::chrono::seconds kWarmUp{ 4 };
// Two seconds longer than the 3 s during which a draining server may get new
// work.
constexpr std::chrono::seconds kDrainWait{ 5 };
constexpr std::chrono::seconds kExitTimeout{ 40 };
constexpr std::size_t kMaxStops = 4;

/// Reads one total count of a stand-in backend server.
double
CountOf(const core::Address& aServer, const std::string& aName)
{
  const auto counts = web::json::value::parse(Get(aServer, "/counts"));
  return counts.at(aName).as_double();
}

struct StopCounts
{
  double mLateRuns = 0.0;
  double mCutOffRuns = 0.0;
  double mBadExits = 0.0;
};

/// Removes the node from the entry nodes that clients use, as an operator does
/// in the DNS records before a planned stop.
void
RemoveEntry(const Deployment& aDeployment,
            const Instance& aInstance,
            LoadGenerator& aLoad)
{
  auto entries = aDeployment.Entries();
  std::erase(entries, aInstance.mCaller);
  aLoad.SetEntryNodes(std::move(entries));
}

/// Drains a server, keeps it running to count late work, then stops it and its
/// node. With aWithoutDrain, the server is stopped by SIGTERM alone.
void
StopInstance(Deployment& aDeployment,
             Instance& aInstance,
             LoadGenerator& aLoad,
             bool aWithoutDrain,
             StopCounts& aCounts)
{
  RemoveEntry(aDeployment, aInstance, aLoad);
  if (!aWithoutDrain) {
    const double failed = CountOf(aInstance.mServerAddress, "failed_runs");
    Post(aInstance.mServerAddress, "/control/drain", "");
    Pause(kDrainWait);
    aCounts.mLateRuns +=
      CountOf(aInstance.mServerAddress, "runs_3s_after_drain");
    aCounts.mCutOffRuns +=
      CountOf(aInstance.mServerAddress, "failed_runs") - failed;
  }
  for (auto* process : { &aInstance.mServer, &aInstance.mNode }) {
    process->value().Signal(SIGTERM);
    const auto code = process->value().Wait(kExitTimeout);
    aCounts.mBadExits += code == 0 ? 0.0 : 1.0;
    process->reset();
  }
}

} // namespace

FigureTable
RunDrain(const RunContext& aContext)
{
  Deployment deployment(aContext.Protected());
  const double capacity = IdealCapacity(deployment.Spec()).Capacity();
  LoadGenerator load(aContext.Load(deployment, "drain"));
  load.SetRate(kDemand * capacity);
  Pause(kWarmUp);
  const double from = load.ElapsedSeconds();
  StopCounts counts;
  const auto stops = std::clamp<std::size_t>(
    static_cast<std::size_t>(aContext.mTimeLimit.count()) / 15, 1, kMaxStops);
  std::size_t stopped = 0;
  std::string last_service;
  for (Instance& instance : deployment.Instances()) {
    // Stop one instance per service, so that the others can take over its load.
    if (stopped < stops && instance.mService != last_service) {
      last_service = instance.mService;
      LogProgress("stopping " + instance.mName);
      StopInstance(deployment, instance, load, stopped % 2 == 1, counts);
      ++stopped;
      Pause(std::chrono::seconds(1));
    }
  }
  DrainLoad(load, std::chrono::seconds(10));
  double cut_off = 0.0;
  double failed = 0.0;
  for (const OperationRecord& record : load.RecordsWithUnfinished()) {
    if (record.mArrival >= from && record.mOutcome == OutcomeKind::Failed) {
      failed += 1.0;
      const bool cut = record.mReason == "connection" ||
                       record.mReason.find("peer_lost") != std::string::npos ||
                       record.mReason.find("backend_") != std::string::npos ||
                       record.mReason.find(":connection") != std::string::npos;
      cut_off += cut ? 1.0 : 0.0;
    }
  }
  FigureTable table = aContext.Table("drain");
  const Target none{ Comparison::AtMost, 0.0 };
  table.Add("planned_stops", static_cast<double>(stopped), "instances");
  table.Add("new_work_after_3s", counts.mLateRuns, "runs", none);
  table.Add("cut_off_runs", counts.mCutOffRuns, "runs", none);
  table.Add("cut_off_requests", cut_off, "requests", none);
  table.Add("failed_requests", failed, "requests");
  table.Add("exits_not_0", counts.mBadExits, "processes", none);
  return table;
}

} // namespace nutmegrock::experiment
