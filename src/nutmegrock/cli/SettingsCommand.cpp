#include "cli/SettingsCommand.h"

#include "cli/CommandLine.h"
#include "settings/SettingsFile.h"

namespace nutmegrock::cli {

int
RunSettingsCommand(const std::vector<std::string>& aArguments,
                   std::ostream& aOut,
                   std::ostream& aErr)
{
  CommandLine line("settings", "Checks a settings file of a node.", aOut, aErr);
  const auto& action = line.Positional("ACTION", "what to do: check");
  const auto& file = line.Positional("FILE", "YAML settings of a node");
  if (const auto code = line.Parse(aArguments)) {
    return static_cast<int>(*code);
  }
  if (action.getValue() != "check") {
    aErr << "nutmegrock settings: \"" << action.getValue()
         << "\" is not an action; it must be check\n";
    return static_cast<int>(ExitCode::WrongUsage);
  }
  const auto settings = settings::LoadNodeSettings(file.getValue());
  if (!settings) {
    aErr << settings.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  aOut << file.getValue() << ": no faults\n";
  return static_cast<int>(ExitCode::Ok);
}

} // namespace nutmegrock::cli
