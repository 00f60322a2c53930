#include "experiment/ControlClient.h"
#include "experiment/IdealCapacity.h"
#include "experiment/Interrupt.h"
#include "experiment/LoadSummary.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace nutmegrock::experiment {

namespace {

// Service times are shorter than in the other experiments, so that 10,000
// requests fit into half a minute.
constexpr double kServiceTimeDivisor = 4.0;
constexpr double kDemand = 0.45;
constexpr double kMaxRate = 450.0;
constexpr unsigned kResends = 3;
constexpr double kDuplicateShare = 0.2;
constexpr double kRequests = 10000.0;
constexpr double kOutageTarget = 0.99;
constexpr std::chrono::seconds kOutageDuration{ 6 };
constexpr std::chrono::milliseconds kFaultInterval{ 700 };

/// Keeps only the important request kinds, in equal shares.
DeploymentSpec
ImportantOnly(const DeploymentSpec& aSpec)
{
  DeploymentSpec spec = aSpec;
  std::erase_if(spec.mKinds,
                [](const RequestKind& aKind) { return !aKind.mImportant; });
  for (RequestKind& kind : spec.mKinds) {
    kind.mShare = 1.0 / static_cast<double>(spec.mKinds.size());
  }
  for (ServiceSpec& service : spec.mServices) {
    service.mMeanSeconds /= kServiceTimeDivisor;
  }
  return spec;
}

/// Injects node and store faults in turn.
class FaultSequence
{
public:
  FaultSequence(Deployment& aDeployment, std::uint64_t aSeed)
    : mDeployment(aDeployment)
    , mRandom(aSeed)
  {
  }

  void Next()
  {
    switch (mCount++ % 4) {
      case 0:
        KillNode();
        break;
      case 1:
        PauseNode();
        break;
      case 2:
        SetStoreDown(true);
        break;
      default:
        SetStoreDown(false);
        break;
    }
  }

  void SetStoreDown(bool aDown) const
  {
    Post(mDeployment.Platform(),
         "/faults",
         aDown ? R"({"down":true})" : R"({"down":false})");
  }

  std::size_t Kills() const { return mKills; }
  std::size_t Pauses() const { return mPauses; }

private:
  Instance& RandomInstance()
  {
    auto& instances = mDeployment.Instances();
    return instances.at(mRandom() % instances.size());
  }

  void KillNode()
  {
    ++mKills;
    Instance& instance = RandomInstance();
    instance.mNode.value().Kill();
    Pause(kFaultInterval);
    mDeployment.StartNode(instance);
  }

  /// The pause ranges from shorter than any timeout to longer than the failure
  /// detection time.
  void PauseNode()
  {
    ++mPauses;
    const Instance& instance = RandomInstance();
    instance.mNode.value().Signal(SIGSTOP);
    Pause(std::chrono::milliseconds(200 + mRandom() % 3000));
    instance.mNode.value().Signal(SIGCONT);
  }

  Deployment& mDeployment;
  std::mt19937_64 mRandom;
  std::size_t mCount = 0;
  std::size_t mKills = 0;
  std::size_t mPauses = 0;
};

struct OnceViolations
{
  double mRunTwice = 0.0;
  double mFalseNotRun = 0.0;
  double mCompletedWithoutRun = 0.0;
};

OnceViolations
CountViolations(const CountsByOperation& aCounts,
                const std::vector<OperationRecord>& aRecords)
{
  OnceViolations result;
  for (const auto& [operation, counts] : aCounts) {
    result.mRunTwice += counts.mMaxRuns > 1 ? 1.0 : 0.0;
  }
  for (const OperationRecord& record : aRecords) {
    const auto found = aCounts.find(record.mId);
    const bool ran = found != aCounts.end() && found->second.mRuns > 0;
    result.mFalseNotRun += record.mAllNotRun && ran ? 1.0 : 0.0;
    result.mCompletedWithoutRun +=
      record.mOutcome == OutcomeKind::Completed && !ran ? 1.0 : 0.0;
  }
  return result;
}

void
AddCounts(FigureTable& aTable,
          const FaultSequence& aFaults,
          const OnceViolations& aCounts)
{
  const Target none{ Comparison::AtMost, 0.0 };
  aTable.Add("node_kills", static_cast<double>(aFaults.Kills()), "faults");
  aTable.Add("node_pauses", static_cast<double>(aFaults.Pauses()), "faults");
  aTable.Add("run_twice", aCounts.mRunTwice, "requests", none);
  aTable.Add("not_run_but_ran", aCounts.mFalseNotRun, "requests", none);
  aTable.Add(
    "completed_without_run", aCounts.mCompletedWithoutRun, "requests", none);
}

void
InjectFaults(const RunContext& aContext,
             LoadGenerator& aLoad,
             FaultSequence& aFaults)
{
  const double time_limit =
    static_cast<double>(aContext.mTimeLimit.count()) - 25.0;
  while (static_cast<double>(aLoad.EndedCount()) < 1.1 * kRequests &&
         aLoad.ElapsedSeconds() < time_limit) {
    aFaults.Next();
    Pause(kFaultInterval);
  }
  aFaults.SetStoreDown(false);
  DrainLoad(aLoad, std::chrono::seconds(25));
  // Work that no client waits for any more may still be running.
  Pause(std::chrono::seconds(2));
}

} // namespace

FigureTable
RunOnce(const RunContext& aContext)
{
  DeploymentOptions options = aContext.Protected();
  options.mSpec = ImportantOnly(aContext.mSpec);
  Deployment deployment(options);
  const double capacity = IdealCapacity(options.mSpec).Capacity();
  const double rate = std::min(kMaxRate, kDemand * capacity);
  LoadSettings settings = aContext.Load(deployment, "once");
  settings.mClient = { kResends, kDuplicateShare, std::chrono::seconds(5) };
  LoadGenerator load(settings);
  FaultSequence faults(deployment, aContext.mSeed);
  load.SetRate(rate);
  Pause(std::chrono::seconds(4));
  const double healthy_from = load.ElapsedSeconds();
  Pause(kOutageDuration);
  const double outage_from = load.ElapsedSeconds();
  faults.SetStoreDown(true);
  Pause(kOutageDuration);
  faults.SetStoreDown(false);
  const double outage_to = load.ElapsedSeconds();

  InjectFaults(aContext, load, faults);
  const auto records = load.RecordsWithUnfinished();
  const OnceViolations counts = CountViolations(deployment.Counts(), records);
  const LoadSummary healthy(
    options.mSpec.mKinds, records, healthy_from, outage_from);
  const LoadSummary outage(
    options.mSpec.mKinds, records, outage_from, outage_to);
  const LoadSummary all(
    options.mSpec.mKinds, records, outage_to, load.ElapsedSeconds());

  FigureTable table = aContext.Table("once");
  const Target none{ Comparison::AtMost, 0.0 };
  table.Add("requests",
            static_cast<double>(records.size()),
            "requests",
            Target{ Comparison::AtLeast, kRequests });
  AddCounts(table, faults, counts);
  table.Add("mismatched_answers",
            static_cast<double>(all.Mismatched()),
            "requests",
            none);
  LogOutcomes("healthy", healthy);
  LogOutcomes("store down", outage);
  LogOutcomes("node and store faults", all);
  table.Add("completed_while_healthy", healthy.CompletedShare(true), "share");
  table.Add("completed_in_store_outage",
            outage.CompletedShare(true) / healthy.CompletedShare(true),
            "of the healthy share",
            Target{ Comparison::AtLeast, kOutageTarget });
  table.Add("completed_with_node_faults", all.CompletedShare(true), "share");
  return table;
}

} // namespace nutmegrock::experiment
