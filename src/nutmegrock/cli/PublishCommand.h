#pragma once

#include "cli/CommandOutput.h"
#include "cli/ExitCode.h"

#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Runs `nutmegrock profile publish` with the arguments after it.
ExitCode
RunPublishCommand(const std::vector<std::string>& aArguments,
                  CommandOutput aOutput);

} // namespace nutmegrock::cli
