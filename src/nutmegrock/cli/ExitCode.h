#pragma once

namespace nutmegrock::cli {

/// Exit codes of the subcommands.
enum class ExitCode : int
{
  Ok = 0,
  /// The request was rejected, or faults were found.
  Refused = 1,
  WrongUsage = 2,
  /// The node, or the store that it uses, cannot be reached.
  NotReachable = 3
};

} // namespace nutmegrock::cli
