#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Exit codes of the subcommands.
enum class ExitCode : int
{
  Ok = 0,
  /// Refused, or faults found.
  Refused = 1,
  WrongUsage = 2,
  /// The node, or the store behind it, cannot be reached.
  NotReachable = 3
};

/// Runs `nutmegrock profile`. aArguments begins with the subcommand: check,
/// publish, show, history or diff. Returns an ExitCode as int.
int
RunProfileCommand(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErr);

} // namespace nutmegrock::cli
