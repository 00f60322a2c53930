#include "experiment/ControlClient.h"
#include "experiment/Interrupt.h"
#include "experiment/nutmegrock_experiment/Experiments.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace nutmegrock::experiment {

namespace {

constexpr std::size_t kNodes = 100;
constexpr std::chrono::seconds kWarmUp{ 10 };
constexpr std::chrono::seconds kMax{ 30 };
// Targets for 3,800 nodes; the experiment runs fewer and reports how many.
constexpr double kBytesTarget = 10'000.0;
constexpr double kCoreTarget = 0.038;
constexpr double kMemoryTarget = 128.0;
constexpr double kMegabyte = 1e6;

/// Sum of a node's counters of control bytes between nodes; NaN if the node has
/// none.
double
ControlBytes(const core::Address& aAdmin)
{
  std::istringstream lines(Get(aAdmin, "/v1/metrics"));
  std::string line;
  double sum = std::nan("");
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    if (line.starts_with("nutmegrock_control_bytes") &&
        space != std::string::npos) {
      const double value = std::stod(line.substr(space + 1));
      sum = std::isnan(sum) ? value : sum + value;
    }
  }
  return sum;
}

} // namespace

FigureTable
RunControlCost(const RunContext& aContext)
{
  DeploymentOptions options = aContext.Protected();
  options.mSpec.mServices.resize(1);
  options.mSpec.mServices[0].mServers = kNodes;
  options.mWithServers = false;
  options.mNodeThreads = 1;
  Deployment deployment(options);
  Pause(kWarmUp);
  const core::Address& sample = deployment.Instances().front().mAdmin;
  const double bytes = ControlBytes(sample);
  const double cpu = deployment.NodeCpuSeconds();
  const auto start = core::Clock::now();
  Pause(std::min(kMax, aContext.mTimeLimit));
  const double seconds =
    std::chrono::duration<double>(core::Clock::now() - start).count();
  const double cores =
    (deployment.NodeCpuSeconds() - cpu) / seconds / static_cast<double>(kNodes);
  const double rate = (ControlBytes(sample) - bytes) / seconds;
  double memory = 0.0;
  for (const Instance& instance : deployment.Instances()) {
    memory = std::max(
      memory,
      static_cast<double>(instance.mNode.value().ResidentBytes()) / kMegabyte);
  }
  FigureTable table = aContext.Table("control-cost");
  table.Add("nodes", static_cast<double>(kNodes), "nodes");
  table.Add(
    "bytes", rate, "B/s per node", Target{ Comparison::AtMost, kBytesTarget });
  table.Add("processor",
            cores,
            "cores per node",
            Target{ Comparison::AtMost, kCoreTarget });
  table.Add("memory",
            memory,
            "MB, largest",
            Target{ Comparison::AtMost, kMemoryTarget });
  return table;
}

} // namespace nutmegrock::experiment
