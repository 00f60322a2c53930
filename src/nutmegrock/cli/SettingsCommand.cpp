#include "cli/SettingsCommand.h"

#include "cli/ParseArguments.h"
#include "cli/ProfileCommand.h"
#include "settings/SettingsFile.h"

namespace nutmegrock::cli {

int
RunSettingsCommand(const std::vector<std::string>& aArguments,
                   std::ostream& aOut,
                   std::ostream& aErr)
{
  TCLAP::CmdLine command(
    "Checks a settings file of a node.", ' ', NUTMEGROCK_VERSION);
  std::vector<std::string> actions = { "check" };
  TCLAP::ValuesConstraint<std::string> allowed(actions);
  TCLAP::UnlabeledValueArg<std::string> action(
    "action", "what to do", true, "", &allowed, command);
  TCLAP::UnlabeledValueArg<std::string> file(
    "file", "YAML settings of a node", true, "", "FILE", command);
  if (const auto code = ParseArguments(
        command, "nutmegrock settings", aArguments, aOut, aErr)) {
    return *code;
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
