#include "cli/GatewayCommand.h"
#include "cli/HeldSignals.h"
#include "cli/Program.h"
#include "platform/PlatformPorts.h"

#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr const char* kGateway = "gateway";

using Initializer = void (*)(int, char**, char**);

void
HoldSignals(int, char**, char**)
{
  nutmegrock::cli::HeldSignals::Hold();
}

// Runs before the initializers of the libraries, which take most of the start;
// a signal in that time would end the process.
[[gnu::section(".preinit_array"), gnu::used]] const Initializer sHoldSignals =
  HoldSignals;

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
  if (arguments.empty() || arguments[0] != kGateway) {
    nutmegrock::cli::HeldSignals::Release();
  }
  return nutmegrock::cli::RunProgram(
    arguments,
    std::cout,
    std::cerr,
    { { kGateway, "run a node that serves published routes", RunGateway } });
}
