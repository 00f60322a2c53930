#include "experiment/nutmegrock_experiment/Demo.h"

#include "experiment/IdealCapacity.h"
#include "experiment/Interrupt.h"
#include "experiment/LoadSummary.h"

#include <cstdio>

namespace nutmegrock::experiment {

namespace {

struct Phase
{
  std::string mName;
  int mSeconds = 0;
  double mDemand = 1.0;
  double mSlowdown = 1.0;
  unsigned mResends = 0;
};

std::vector<Phase>
Phases()
{
  return { { "normal", 8, 0.7, 1.0, 0 },
           { "overload: 3 times the capacity, clients retry 5 times",
             12,
             3.0,
             1.0,
             5 },
           { "overload: 2 times the capacity, deep service 5 times slower",
             12,
             2.0,
             5.0,
             5 },
           { "normal again", 8, 0.7, 1.0, 0 } };
}

std::string
Percent(double aShare)
{
  return FormatNumber(static_cast<int>(aShare * 1000.0) / 10.0) + "%";
}

/// Prints one line about the requests that ended in the last second.
void
PrintLive(const DeploymentSpec& aSpec,
          const std::vector<OperationRecord>& aRecords,
          std::size_t aFirst,
          double aNow,
          std::size_t aInProgress)
{
  std::size_t completed = 0;
  std::size_t important = 0;
  std::size_t important_completed = 0;
  for (std::size_t i = aFirst; i < aRecords.size(); ++i) {
    const bool done = aRecords[i].mOutcome == OutcomeKind::Completed;
    const bool is_important = aSpec.mKinds.at(aRecords[i].mKind).mImportant;
    completed += done ? 1 : 0;
    important += is_important ? 1 : 0;
    important_completed += is_important && done ? 1 : 0;
  }
  const std::size_t ended = aRecords.size() - aFirst;
  std::printf("%5.1f s  ended %5zu/s  completed %5zu/s  refused or failed "
              "%5zu/s  important completed %zu of %zu  in progress %zu\n",
              aNow,
              ended,
              completed,
              ended - completed,
              important_completed,
              important,
              aInProgress);
  std::fflush(stdout);
}

std::string
TopReasons(const KindSummary& aKind)
{
  std::vector<std::pair<std::size_t, std::string>> reasons;
  for (const auto& [reason, count] : aKind.mReasons) {
    reasons.emplace_back(count, reason);
  }
  std::sort(reasons.rbegin(), reasons.rend());
  constexpr std::size_t kShown = 3;
  std::string text;
  for (std::size_t i = 0; i < reasons.size() && i < kShown; ++i) {
    text += (i == 0 ? "" : ", ") + reasons[i].second + " " +
            std::to_string(reasons[i].first);
  }
  return text.empty() ? "-" : text;
}

void
PrintTable(const std::string& aTitle, const LoadSummary& aSummary)
{
  std::vector<std::vector<std::string>> rows{ { "profile",
                                                "offered",
                                                "completed whole",
                                                "share",
                                                "retries",
                                                "p50 ms",
                                                "p99 ms",
                                                "refused or failed" } };
  for (const KindSummary& kind : aSummary.Kinds()) {
    const double share = kind.mOffered == 0
                           ? 1.0
                           : static_cast<double>(kind.mCompleted) /
                               static_cast<double>(kind.mOffered);
    rows.push_back({ kind.mName + (kind.mImportant ? " (important)" : ""),
                     std::to_string(kind.mOffered),
                     std::to_string(kind.mCompleted),
                     Percent(share),
                     std::to_string(kind.mResends),
                     FormatNumber(kind.mLatencies.QuantileMs(0.5)),
                     FormatNumber(kind.mLatencies.QuantileMs(0.99)),
                     TopReasons(kind) });
  }
  std::printf("\n%s\n%s", aTitle.c_str(), FormatColumns(rows).c_str());
}

void
PrintHeader(const DeploymentSpec& aSpec, double aCapacity)
{
  std::printf("%s: %zu backend servers with one node each, capacity %.0f "
              "customer requests/s\n"
              "slots and connections are 1/%.0f of the real ones; one-way "
              "latency to clients %.1f ms, none between availability zones\n",
              aSpec.mName.c_str(),
              aSpec.ServerCount(),
              aCapacity,
              DeploymentSpec::kScale,
              static_cast<double>(aSpec.mClientLatency.count()) / 1000.0);
}

} // namespace

void
RunDemo(const RunContext& aContext)
{
  const double capacity = IdealCapacity(aContext.mSpec).Capacity();
  PrintHeader(aContext.mSpec, capacity);
  std::printf("starting...\n");
  std::fflush(stdout);
  Deployment deployment(aContext.Protected());
  const DeploymentSpec& spec = deployment.Spec();
  LoadGenerator load(aContext.Load(deployment, "demo"));
  std::vector<std::pair<double, double>> bounds;
  std::size_t seen = 0;
  for (const Phase& phase : Phases()) {
    std::printf("-- %s\n", phase.mName.c_str());
    ClientBehaviour client;
    client.mResends = phase.mResends;
    load.SetClientBehaviour(client);
    deployment.SetFaults(spec.mDeepService,
                         "{\"slowdown\":" + std::to_string(phase.mSlowdown) +
                           "}");
    load.SetRate(phase.mDemand * capacity);
    const double from = load.ElapsedSeconds();
    for (int second = 0; second < phase.mSeconds; ++second) {
      Pause(std::chrono::seconds(1));
      const auto records = load.Records();
      PrintLive(spec, records, seen, load.ElapsedSeconds(), load.InProgress());
      seen = records.size();
    }
    bounds.emplace_back(from, load.ElapsedSeconds());
  }
  DrainLoad(load, std::chrono::seconds(5));
  const auto records = load.RecordsWithUnfinished();
  const auto phases = Phases();
  for (std::size_t i = 0; i < phases.size(); ++i) {
    PrintTable(
      phases[i].mName,
      LoadSummary(spec.mKinds, records, bounds[i].first, bounds[i].second));
  }
  PrintTable("whole run",
             LoadSummary(spec.mKinds, records, 0.0, load.ElapsedSeconds()));
}

} // namespace nutmegrock::experiment
