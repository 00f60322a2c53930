#include "cli/ParseArguments.h"

#include "cli/ProfileCommand.h"

#include <tclap/StdOutput.h>

namespace nutmegrock::cli {

namespace {

/// Writes the usage to a given stream; TCLAP's own output goes to std::cout.
class StreamOutput final : public TCLAP::StdOutput
{
public:
  explicit StreamOutput(std::ostream& aOut)
    : mOut(aOut)
  {
  }

  void usage(TCLAP::CmdLineInterface& aCommand) override
  {
    mOut << aCommand.getMessage() << "\n\nUsage:\n";
    _shortUsage(aCommand, mOut);
    mOut << "\n";
    _longUsage(aCommand, mOut);
  }

  void version(TCLAP::CmdLineInterface& aCommand) override
  {
    mOut << aCommand.getVersion() << "\n";
  }

private:
  std::ostream& mOut;
};

} // namespace

std::optional<int>
ParseArguments(TCLAP::CmdLine& aCommand,
               const std::string& aName,
               const std::vector<std::string>& aArguments,
               std::ostream& aOut,
               std::ostream& aErr)
{
  StreamOutput output(aOut);
  aCommand.setOutput(&output);
  aCommand.setExceptionHandling(false);
  std::vector<std::string> arguments = { aName };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  try {
    aCommand.parse(arguments);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    aErr << aName << ": " << error.argId() << ": " << error.error() << "\n";
    return static_cast<int>(ExitCode::WrongUsage);
  }
  return std::nullopt;
}

} // namespace nutmegrock::cli
