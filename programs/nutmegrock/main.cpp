#include "cli/GatewayCommand.h"
#include "cli/Program.h"
#include "platform/PlatformPorts.h"

#include <iostream>
#include <string>
#include <vector>

namespace {

int
RunGateway(const std::vector<std::string>& aArguments,
           std::ostream& aOut,
           std::ostream& aErr)
{
  return nutmegrock::cli::RunGatewayCommand(
    aArguments, aOut, aErr, nutmegrock::platform::MakePorts);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return nutmegrock::cli::RunProgram(
    arguments,
    std::cout,
    std::cerr,
    { { "gateway", "run a node that serves published routes", RunGateway } });
}
