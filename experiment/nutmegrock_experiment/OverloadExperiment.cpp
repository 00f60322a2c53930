#include "experiment/IdealCapacity.h"
#include "experiment/Interrupt.h"
#include "experiment/LoadSummary.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <algorithm>
#include <unordered_set>

namespace nutmegrock::experiment {

namespace {

constexpr unsigned kClientResends = 5;
constexpr double kSlowdown = 5.0;
// Seconds per case for limits and levels to adapt, and for collecting the
// counts of the backend servers.
constexpr double kRampSeconds = 2.0;
constexpr double kOverheadSeconds = 5.0;
constexpr double kMin = 2.0;
constexpr double kMax = 20.0;
constexpr std::chrono::seconds kDrainTimeout{ 4 };
constexpr double kStartSeconds = 8.0;

struct OverloadCase
{
  std::string mName;
  /// Offered rate as a multiple of the capacity without faults.
  double mDemand = 1.0;
  double mSlowdown = 1.0;
  bool mRetryingClients = false;
  /// Fault switches of all backend servers, in addition to the slowdown.
  std::string mFaults = "{}";
  /// All requests to the deep service are shed.
  bool mDeepFails = false;
  /// True if the baseline runs the case too.
  bool mWithBaseline = false;
};

const std::vector<OverloadCase>&
Cases()
{
  // The most significant cases come first, since the time limit may cut off the
  // last ones. The full failure is last, because a slow recovery from it would
  // affect later cases.
  static const std::vector<OverloadCase> sCases{
    { "normal", 0.7 },
    { "demand_2x", 2.0, 1.0, false, "{}", false, true },
    { "all_together", 2.0, kSlowdown, true, "{}", false, true },
    { "retrying_clients", 1.5, 1.0, true, "{}", false, true },
    { "slow_deep_5x", 0.9, kSlowdown },
    { "demand_1.5x", 1.5 },
    { "demand_4x", 4.0 },
    { "load_reports_zero", 2.0, 1.0, false, R"({"lie_load":"zero"})" },
    { "load_reports_times3", 2.0, 1.0, false, R"({"lie_load":"times3"})" },
    { "full_failure", 0.5, 1.0, false, "{}", true, true },
  };
  return sCases;
}

std::string
Switch(const std::string& aName, double aValue)
{
  return "{\"" + aName + "\":" + std::to_string(aValue) + "}";
}

struct CaseResult
{
  double mGoodput = 0.0;
  double mIdeal = 0.0;
  double mImportant = 0.0;
  double mWasted = 0.0;
  double mAttemptsPerHop = 0.0;
  double mOverBudget = 0.0;
  double mMismatched = 0.0;
  double mCores = 0.0;
};

/// Slot time of requests that did not complete, as a share of all slot time.
double
WastedShare(const CountsByOperation& aCounts,
            const std::vector<OperationRecord>& aRecords)
{
  std::unordered_set<std::string> completed;
  for (const OperationRecord& record : aRecords) {
    if (record.mOutcome == OutcomeKind::Completed) {
      completed.insert(record.mId);
    }
  }
  double all = 0.0;
  double wasted = 0.0;
  for (const auto& [operation, counts] : aCounts) {
    all += counts.mSlotSeconds;
    wasted += completed.contains(operation) ? 0.0 : counts.mSlotSeconds;
  }
  return all > 0.0 ? wasted / all : 0.0;
}

/// Attempts at the servers of one service for each request that reached it.
double
AttemptsPerRequest(const CountsByOperation& aCounts)
{
  double attempts = 0.0;
  double requests = 0.0;
  for (const auto& [operation, counts] : aCounts) {
    attempts += counts.mAttempts;
    requests += counts.mAttempts > 0 ? 1.0 : 0.0;
  }
  return requests > 0.0 ? attempts / requests : 0.0;
}

/// Number of requests with more attempts than their retry budget allows. If the
/// client sent a request once, the attempts of the whole call chain beyond the
/// planned calls count. Otherwise resends of the client use the budget too, and
/// no service may see more attempts than one plus the budget.
double
OverBudget(const DeploymentSpec& aSpec,
           const std::map<std::string, unsigned>& aBudgets,
           const CountsByOperation& aCounts,
           const std::vector<OperationRecord>& aRecords)
{
  double over = 0.0;
  for (const OperationRecord& record : aRecords) {
    const auto found = aCounts.find(record.mId);
    if (found == aCounts.end()) {
      continue;
    }
    const RequestKind& kind = aSpec.mKinds.at(record.mKind);
    const unsigned budget = aBudgets.at(kind.mName);
    const OperationCounts& counts = found->second;
    const bool within =
      record.mSends <= 1
        ? counts.mAttempts <= 1 + kind.mPlan.CallCount() + budget
        : counts.mMaxAttempts <= 1 + budget;
    over += within ? 0.0 : 1.0;
  }
  return over;
}

CaseResult
RunCase(const RunContext& aContext,
        Deployment& aDeployment,
        const OverloadCase& aCase,
        double aSeconds)
{
  const DeploymentSpec& spec = aDeployment.Spec();
  const double rate = aCase.mDemand * IdealCapacity(spec).Capacity();
  aDeployment.SetFaults("", aCase.mFaults);
  aDeployment.SetFaults(spec.mDeepService, Switch("slowdown", aCase.mSlowdown));
  if (aCase.mDeepFails) {
    aDeployment.SetFaults(spec.mDeepService, Switch("shed", 1.0));
  }
  LoadSettings settings = aContext.Load(aDeployment, aCase.mName);
  settings.mClient.mResends = aCase.mRetryingClients ? kClientResends : 0;
  LoadGenerator load(settings);
  load.SetRate(rate);
  Pause(std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(kRampSeconds)));
  const double from = load.ElapsedSeconds();
  const double cpu = aDeployment.AllCpuSeconds();
  Pause(std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(aSeconds)));
  const double to = load.ElapsedSeconds();
  CaseResult result;
  result.mCores = (aDeployment.AllCpuSeconds() - cpu) / (to - from);
  DrainLoad(load, kDrainTimeout);
  const auto records = load.RecordsWithUnfinished();
  const auto counts = aDeployment.Counts();
  const LoadSummary summary(spec.mKinds, records, from, to);
  LogOutcomes(aCase.mName, summary);
  const IdealCapacity ideal(spec, { { spec.mDeepService, aCase.mSlowdown } });
  result.mGoodput = summary.Goodput();
  result.mIdeal = ideal.Goodput(rate);
  result.mImportant = summary.ImportantCompleted();
  result.mMismatched = static_cast<double>(summary.Mismatched());
  result.mWasted = WastedShare(counts, records);
  result.mOverBudget =
    OverBudget(spec, aContext.RetryBudgets(), counts, records);
  result.mAttemptsPerHop =
    AttemptsPerRequest(aDeployment.Counts(spec.mDeepService));
  aDeployment.SetFaults("", R"({"slowdown":1,"shed":0,"lie_load":"true"})");
  aDeployment.ResetCounts();
  Pause(std::chrono::seconds(1));
  return result;
}

void
AddCase(FigureTable& aTable,
        const OverloadCase& aCase,
        const CaseResult& aResult,
        bool aBaseline)
{
  const std::string prefix = aCase.mName + (aBaseline ? ".baseline." : ".");
  const auto target = [aBaseline](Comparison aComparison, double aValue) {
    return aBaseline ? std::nullopt
                     : std::optional(Target{ aComparison, aValue });
  };
  if (aCase.mDeepFails) {
    aTable.Add(prefix + "attempts_per_hop",
               aResult.mAttemptsPerHop,
               "",
               target(Comparison::AtMost, 1.1));
  } else {
    aTable.Add(prefix + "goodput_share",
               aResult.mGoodput / aResult.mIdeal,
               "of ideal",
               target(Comparison::AtLeast, 0.95));
    aTable.Add(prefix + "goodput", aResult.mGoodput, "1/s");
    aTable.Add(prefix + "important_completed",
               aResult.mImportant,
               "share",
               target(Comparison::AtLeast, 0.99));
    aTable.Add(prefix + "wasted_slot_time",
               aResult.mWasted,
               "share",
               target(Comparison::AtMost, 0.05));
  }
  aTable.Add(prefix + "over_budget",
             aResult.mOverBudget,
             "requests",
             target(Comparison::AtMost, 0.0));
  aTable.Add(prefix + "cores", aResult.mCores, "of nodes and stand-ins");
  if (aResult.mMismatched > 0) {
    aTable.Add(prefix + "mismatched_answers",
               aResult.mMismatched,
               "requests",
               Target{ Comparison::AtMost, 0 });
  }
}

/// Length of a case, and the number of cases that fit into the time limit.
struct Schedule
{
  double mSeconds = 0.0;
  std::size_t mProtected = 0;
  std::size_t mBaseline = 0;
};

/// Shortens the cases first, then drops some: baseline cases before the others.
Schedule
MakeSchedule(double aTimeLimit)
{
  const auto baseline = static_cast<std::size_t>(
    std::count_if(Cases().begin(), Cases().end(), [](const OverloadCase& aOne) {
      return aOne.mWithBaseline;
    }));
  const double remaining = aTimeLimit - 2 * kStartSeconds;
  const auto all = static_cast<double>(Cases().size() + baseline);
  Schedule schedule;
  schedule.mSeconds =
    std::clamp(remaining / all - kOverheadSeconds, kMin, kMax);
  const auto fitting = static_cast<std::size_t>(
    std::max(1.0, remaining / (schedule.mSeconds + kOverheadSeconds)));
  schedule.mProtected = std::min(fitting, Cases().size());
  schedule.mBaseline = std::min(fitting - schedule.mProtected, baseline);
  return schedule;
}

} // namespace

FigureTable
RunOverload(const RunContext& aContext)
{
  const Schedule schedule =
    MakeSchedule(static_cast<double>(aContext.mTimeLimit.count()));
  FigureTable table = aContext.Table("overload");
  table.Add("capacity", IdealCapacity(aContext.mSpec).Capacity(), "1/s");
  table.Add("scale", DeploymentSpec::kScale, "divisor of slots");
  table.Add("case_length", schedule.mSeconds, "s");
  for (const bool baseline : { false, true }) {
    std::size_t remaining = baseline ? schedule.mBaseline : schedule.mProtected;
    if (remaining == 0) {
      continue;
    }
    Deployment deployment(baseline ? aContext.Baseline()
                                   : aContext.Protected());
    for (const OverloadCase& one : Cases()) {
      if (baseline && !one.mWithBaseline) {
        continue;
      }
      if (remaining == 0) {
        LogProgress("not run, beyond the time limit: " + one.mName);
        continue;
      }
      --remaining;
      LogProgress((baseline ? "baseline, " : "") + one.mName);
      const CaseResult result =
        RunCase(aContext, deployment, one, schedule.mSeconds);
      AddCase(table, one, result, baseline);
    }
  }
  return table;
}

} // namespace nutmegrock::experiment
