#pragma once

#include "experiment/nutmegrock_experiment/RunContext.h"

#include <functional>
#include <string>
#include <vector>

namespace nutmegrock::experiment {

/// Latency added by two nodes, against the same load sent to the backend
/// server directly.
FigureTable
RunLatency(const RunContext& aContext);

/// Goodput, important work, wasted slot time and attempts in overload cases,
/// with the baseline beside them.
FigureTable
RunOverload(const RunContext& aContext);

/// Time to normal goodput after the cause of an overload ends, with the
/// baseline beside it.
FigureTable
RunRecovery(const RunContext& aContext);

/// New work at a leaving server, and requests cut off by planned stops.
FigureTable
RunDrain(const RunContext& aContext);

/// Non-idempotent requests that ran twice, or were answered "not run" although
/// they ran, while nodes are killed and paused and the store is down.
FigureTable
RunOnce(const RunContext& aContext);

/// Time until a publication is in force on all nodes, and reverts.
FigureTable
RunProfiles(const RunContext& aContext);

/// Network bytes, processor time and memory of nodes without calls.
FigureTable
RunControlCost(const RunContext& aContext);

/// An experiment by its name.
struct NamedExperiment
{
  std::string mName;
  std::string mSummary;
  std::function<FigureTable(const RunContext&)> mRun;
};

/// All experiments, in the order of `list`.
const std::vector<NamedExperiment>&
AllExperiments();

} // namespace nutmegrock::experiment
