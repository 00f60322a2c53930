#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Runs `nutmegrock settings check FILE`, which lists all faults of node
/// settings. Returns 0, 1 if there are faults, 2 for wrong usage.
int
RunSettingsCommand(const std::vector<std::string>& aArguments,
                   std::ostream& aOut,
                   std::ostream& aErr);

} // namespace nutmegrock::cli
