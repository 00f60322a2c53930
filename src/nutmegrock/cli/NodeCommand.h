#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Runs `nutmegrock node --settings FILE` until SIGTERM or SIGINT, then drains.
/// Returns 0, 1 for bad settings, a failed start or calls that did not end
/// within the maximum drain time, 2 for wrong usage.
int
RunNodeCommand(const std::vector<std::string>& aArguments,
               std::ostream& aOut,
               std::ostream& aErr);

} // namespace nutmegrock::cli
