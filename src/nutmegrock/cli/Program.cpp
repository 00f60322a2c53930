#include "cli/Program.h"

#include "cli/ExitCode.h"
#include "cli/NodeCommand.h"
#include "cli/ProfileCommand.h"
#include "cli/SettingsCommand.h"
#include "cli/StatusCommand.h"

#include <array>
#include <string_view>

namespace nutmegrock::cli {

namespace {

using Arguments = std::vector<std::string>;

int
RunVersionCommand(const Arguments&, std::ostream& aOut, std::ostream&)
{
  aOut << "nutmegrock " NUTMEGROCK_VERSION "\n";
  return static_cast<int>(ExitCode::Ok);
}

constexpr std::array kSubcommands = {
  Subcommand{ "node",
              "run the process beside a backend server",
              RunNodeCommand },
  Subcommand{ "profile",
              "check, publish, show, history, diff",
              RunProfileCommand },
  Subcommand{ "status", "show the mesh as one node sees it", RunStatusCommand },
  Subcommand{ "settings", "check a settings file", RunSettingsCommand },
  Subcommand{ "version", "print the version", RunVersionCommand },
};

void
PrintUsage(std::ostream& aOut, const std::vector<Subcommand>& aSubcommands)
{
  aOut << "Usage: nutmegrock SUBCOMMAND [ARGUMENTS]\n\nSubcommands:\n";
  for (const Subcommand& subcommand : aSubcommands) {
    aOut << "  " << subcommand.mName
         << std::string(10 - subcommand.mName.size(), ' ')
         << subcommand.mSummary << "\n";
  }
  aOut << "\nnutmegrock SUBCOMMAND --help explains its arguments.\n";
}

} // namespace

int
RunProgram(const Arguments& aArguments,
           std::ostream& aOut,
           std::ostream& aErr,
           const std::vector<Subcommand>& aExtra)
{
  std::vector<Subcommand> subcommands(kSubcommands.begin(), kSubcommands.end());
  subcommands.insert(subcommands.end(), aExtra.begin(), aExtra.end());
  if (aArguments.empty()) {
    PrintUsage(aErr, subcommands);
    return static_cast<int>(ExitCode::WrongUsage);
  }
  if (aArguments[0] == "--help" || aArguments[0] == "-h") {
    PrintUsage(aOut, subcommands);
    return static_cast<int>(ExitCode::Ok);
  }
  for (const Subcommand& subcommand : subcommands) {
    if (subcommand.mName == aArguments[0]) {
      return subcommand.mRun(
        Arguments(aArguments.begin() + 1, aArguments.end()), aOut, aErr);
    }
  }
  aErr << "nutmegrock: \"" << aArguments[0] << "\" is not a subcommand\n";
  PrintUsage(aErr, subcommands);
  return static_cast<int>(ExitCode::WrongUsage);
}

} // namespace nutmegrock::cli
