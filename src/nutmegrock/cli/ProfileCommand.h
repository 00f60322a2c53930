#pragma once

#include "cli/ExitCode.h"

#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Runs `nutmegrock profile`. aArguments starts with the subcommand: check,
/// publish, show, history or diff. Returns an ExitCode as int.
int
RunProfileCommand(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErr);

} // namespace nutmegrock::cli
