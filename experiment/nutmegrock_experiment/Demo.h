#pragma once

#include "experiment/nutmegrock_experiment/RunContext.h"

namespace nutmegrock::experiment {

/// Runs a deployment through normal load, an overload and normal load again,
/// with one line each second and a table for each profile at the end. Takes
/// about 50 s.
void
RunDemo(const RunContext& aContext);

} // namespace nutmegrock::experiment
