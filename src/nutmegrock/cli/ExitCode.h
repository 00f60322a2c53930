#pragma once

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

} // namespace nutmegrock::cli
