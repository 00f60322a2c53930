#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Runs the program with the arguments after its name: a subcommand and its
/// arguments. Returns the exit code; 2 for an unknown subcommand.
int
RunProgram(const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           std::ostream& aErr);

} // namespace nutmegrock::cli
