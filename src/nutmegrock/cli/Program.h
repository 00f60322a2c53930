#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::cli {

/// A subcommand of the program.
struct Subcommand
{
  std::string_view mName;
  std::string_view mSummary;
  /// Runs the subcommand with the arguments after its name and returns the exit
  /// code.
  int (*mRun)(const std::vector<std::string>&, std::ostream&, std::ostream&);
};

/// Runs the program with a subcommand and its arguments. aExtra are subcommands
/// in addition to the built-in ones. Returns the exit code; 2 for an unknown
/// subcommand.
int
RunProgram(const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           std::ostream& aErr,
           const std::vector<Subcommand>& aExtra = {});

} // namespace nutmegrock::cli
