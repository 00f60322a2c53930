#pragma once

#include <optional>
#include <ostream>
#include <string>
#include <tclap/CmdLine.h>
#include <vector>

namespace nutmegrock::cli {

/// Parses the arguments that follow a subcommand. Returns an exit code when the
/// program should end: 0 after --help, written to aOut, and 2 after an error,
/// written to aErr as one line.
std::optional<int>
ParseArguments(TCLAP::CmdLine& aCommand,
               const std::string& aName,
               const std::vector<std::string>& aArguments,
               std::ostream& aOut,
               std::ostream& aErr);

} // namespace nutmegrock::cli
