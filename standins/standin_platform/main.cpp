#include "core/Address.h"
#include "standins/standin_platform/PlatformServer.h"

#include <csignal>
#include <iostream>
#include <pthread.h>
#include <tclap/CmdLine.h>

namespace {

int
Run(const nutmegrock::core::Address& aListen, const sigset_t& aSignals)
{
  nutmegrock::standins::PlatformState state;
  const nutmegrock::standins::PlatformServer server(
    state, "http://" + aListen.ToString());
  std::cout << "listening on " << aListen.ToString() << std::endl;
  int signal = 0;
  sigwait(&aSignals, &signal);
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  // Blocked before any thread starts, so that only sigwait() receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    TCLAP::CmdLine command(
      "Stand-in for the platform's table service and object store.");
    TCLAP::ValueArg<std::string> listen(
      "", "listen", "Address to listen on.", true, "", "IP:PORT", command);
    command.parse(argc, argv);
    const auto address = nutmegrock::core::Address::Parse(listen.getValue());
    if (!address) {
      std::cerr << address.error().mMessage << "\n";
      return 2;
    }
    return Run(*address, signals);
  } catch (const std::exception& exception) {
    std::cerr << exception.what() << "\n";
    return 1;
  }
}
