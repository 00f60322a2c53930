#pragma once

#include "experiment/nutmegrock_experiment/RunContext.h"

namespace nutmegrock::experiment {

/// Runs a deployment under normal load, overload and normal load again. Prints
/// one line per second, and at the end a table by profile for each phase. Takes
/// about 50 s.
void
RunDemo(const RunContext& aContext);

} // namespace nutmegrock::experiment
