#include "cli/Program.h"

#include <iostream>
#include <string>
#include <vector>

int
main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  return nutmegrock::cli::RunProgram(arguments, std::cout, std::cerr);
}
