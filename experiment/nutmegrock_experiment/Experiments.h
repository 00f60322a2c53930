#pragma once

#include "experiment/nutmegrock_experiment/RunContext.h"

#include <functional>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// Latency added by two nodes, compared with the same load sent to the backend
/// server directly.
FigureTable
RunLatency(const RunContext& aContext);

/// Goodput, completed important work, wasted slot time and attempts in the
/// overload cases, compared with the baseline.
FigureTable
RunOverload(const RunContext& aContext);

/// Time to normal goodput after the cause of an overload ends, compared with
/// the baseline.
FigureTable
RunRecovery(const RunContext& aContext);

/// New work at a draining server, and requests cut off by planned stops.
FigureTable
RunDrain(const RunContext& aContext);

/// Non-idempotent requests that ran twice, or were reported as "not run"
/// although they ran, while nodes are killed or paused or the store is down.
FigureTable
RunOnce(const RunContext& aContext);

/// Time until a published version is active on all nodes, and the number of
/// reverts to an older version.
FigureTable
RunProfiles(const RunContext& aContext);

/// Network bytes, CPU time and memory of nodes without calls.
FigureTable
RunControlCost(const RunContext& aContext);

/// An experiment with its name and one-line summary.
struct NamedExperiment
{
  std::string mName;
  std::string mSummary;
  std::function<FigureTable(const RunContext&)> mRun;
};

/// All experiments, in the order in which `list` prints them.
const std::vector<NamedExperiment>&
AllExperiments();

} // namespace nutmegrock::experiment
