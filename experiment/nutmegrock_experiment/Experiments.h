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
