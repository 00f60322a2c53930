#include "standins/standin_backend/Server.h"

#include <cstdio>
#include <tclap/CmdLine.h>
#include <thread>

namespace {

using namespace nutmegrock;
using standin_backend::Distribution;
using standin_backend::Settings;

core::Expected<core::Address>
AddressOrNone(const std::string& aText)
{
  return aText.empty() ? core::Address{} : core::Address::Parse(aText);
}

core::Expected<Settings>
ReadArguments(int aCount, char** aArguments)
{
  TCLAP::CmdLine line("Stand-in backend server for experiments.");
  TCLAP::ValueArg<std::string> listen(
    "", "listen", "address to listen on", true, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> node(
    "", "node", "backend listener of the node", false, "", "IP:PORT", line);
  TCLAP::ValueArg<std::string> service(
    "", "service", "service name", true, "", "NAME", line);
  TCLAP::ValueArg<unsigned> slots(
    "", "slots", "runs at the same time", false, 10, "N", line);
  TCLAP::ValueArg<unsigned> connections(
    "", "connections", "open connections", false, 100, "N", line);
  TCLAP::ValueArg<double> mean(
    "", "mean-ms", "mean service time in ms", false, 0.0, "MS", line);
  std::vector<std::string> names{ "lognormal", "exponential" };
  TCLAP::ValuesConstraint<std::string> allowed(names);
  TCLAP::ValueArg<std::string> distribution("",
                                            "distribution",
                                            "distribution of service times",
                                            false,
                                            "lognormal",
                                            &allowed,
                                            line);
  TCLAP::ValueArg<std::uint64_t> seed(
    "", "seed", "seed of service times and faults", false, 1, "N", line);
  TCLAP::ValueArg<unsigned> threads(
    "", "threads", "threads", false, 1, "N", line);
  TCLAP::ValueArg<unsigned> cold(
    "", "cold-ms", "cold start in ms", false, 0, "MS", line);
  line.parse(aCount, aArguments);

  Settings settings;
  const auto address = core::Address::Parse(listen.getValue());
  const auto node_address = AddressOrNone(node.getValue());
  if (!address || !node_address) {
    return tl::make_unexpected(address ? node_address.error()
                                       : address.error());
  }
  settings.mListen = *address;
  settings.mNode = *node_address;
  settings.mService = service.getValue();
  settings.mSlots = slots.getValue();
  settings.mConnections = connections.getValue();
  settings.mMean = std::chrono::microseconds(
    static_cast<std::int64_t>(mean.getValue() * 1000.0));
  settings.mDistribution = distribution.getValue() == "lognormal"
                             ? Distribution::Lognormal
                             : Distribution::Exponential;
  settings.mSeed = seed.getValue();
  settings.mThreads = std::max(1U, threads.getValue());
  settings.mColdStart = std::chrono::milliseconds(cold.getValue());
  return settings;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto settings = ReadArguments(aCount, aArguments);
  if (!settings) {
    std::fprintf(stderr, "%s\n", settings.error().mMessage.c_str());
    return 2;
  }
  boost::asio::io_context context(static_cast<int>(settings->mThreads));
  const auto server = standin_backend::Server::Create(context, *settings);
  if (!server) {
    std::fprintf(stderr, "%s\n", server.error().mMessage.c_str());
    return 1;
  }
  (*server)->Start();
  std::vector<std::jthread> threads;
  for (std::size_t i = 1; i < settings->mThreads; ++i) {
    threads.emplace_back([&context] { context.run(); });
  }
  context.run();
  return 0;
}
