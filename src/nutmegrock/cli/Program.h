#pragma once

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::cli {

/// One subcommand of the program.
struct Subcommand
{
  std::string_view mName;
  std::string_view mSummary;
  /// Runs it with the arguments behind its name and returns the exit code.
  int (*mRun)(const std::vector<std::string>&, std::ostream&, std::ostream&);
};

/// Runs the program with the arguments after its name: a subcommand and its
/// arguments. aFurther are subcommands beside the built-in ones. Returns the
/// exit code; 2 for an unknown subcommand.
int
RunProgram(const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           std::ostream& aErr,
           const std::vector<Subcommand>& aFurther = {});

} // namespace nutmegrock::cli
