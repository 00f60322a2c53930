#pragma once

#include <ostream>
#include <tclap/CmdLine.h>

namespace nutmegrock::cli {

/// Writes the help, version and error output of TCLAP to the given streams.
class StreamOutput : public TCLAP::StdOutput
{
public:
  StreamOutput(std::ostream& aOut, std::ostream& aErr)
    : mOut(aOut)
    , mErr(aErr)
  {
  }

  void usage(TCLAP::CmdLineInterface& aCommand) override;
  void version(TCLAP::CmdLineInterface& aCommand) override;
  void failure(TCLAP::CmdLineInterface& aCommand,
               TCLAP::ArgException& aException) override;

private:
  std::ostream& mOut;
  std::ostream& mErr;
};

} // namespace nutmegrock::cli
