#include "experiment/nutmegrock_experiment/Experiments.h"

namespace nutmegrock::experiment {

const std::vector<NamedExperiment>&
AllExperiments()
{
  static const std::vector<NamedExperiment> sExperiments{
    { "latency", "latency added by two nodes", RunLatency },
    { "overload",
      "goodput, important work and waste in overload, with a baseline",
      RunOverload },
    { "recovery",
      "time to normal goodput after an overload, with a baseline",
      RunRecovery },
    { "drain", "planned stops under load", RunDrain },
    { "once", "non-idempotent requests with node and store faults", RunOnce },
    { "profiles", "time until a publication is in force", RunProfiles },
    { "control-cost", "cost of nodes without calls", RunControlCost },
  };
  return sExperiments;
}

} // namespace nutmegrock::experiment
