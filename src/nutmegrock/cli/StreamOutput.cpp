#include "cli/StreamOutput.h"

namespace nutmegrock::cli {

void
StreamOutput::usage(TCLAP::CmdLineInterface& aCommand)
{
  mOut << "Usage:\n";
  _shortUsage(aCommand, mOut);
  mOut << "\n";
  _longUsage(aCommand, mOut);
}

void
StreamOutput::version(TCLAP::CmdLineInterface& aCommand)
{
  mOut << aCommand.getVersion() << "\n";
}

void
StreamOutput::failure(TCLAP::CmdLineInterface& aCommand,
                      TCLAP::ArgException& aException)
{
  mErr << aCommand.getProgramName() << ": " << aException.error() << " ("
       << aException.argId() << ")\n";
}

} // namespace nutmegrock::cli
