#include "cli/GatewayCommand.h"

#include "cli/CommandLine.h"
#include "cli/HeldSignals.h"
#include "cli/LossySink.h"
#include "gateway/GatewayRuntime.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace nutmegrock::cli {

namespace {

void
SetUpLog(const std::string& aLevel)
{
  auto logger = std::make_shared<spdlog::logger>(
    "nutmegrock", std::make_shared<LossySink>(STDOUT_FILENO));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  spdlog::set_default_logger(logger);
}

int
RunNode(const std::string& aPath,
        std::ostream& aErr,
        const PortsFactory& aPorts)
{
  const auto settings = settings::LoadGatewaySettings(aPath);
  if (!settings) {
    aErr << settings.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  SetUpLog(settings->mLogLevel);
  auto ports = aPorts(*settings);
  if (!ports) {
    aErr << "nutmegrock gateway: " << ports.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  const auto runtime =
    gateway::GatewayRuntime::Start(*settings, std::move(*ports));
  if (!runtime) {
    aErr << "nutmegrock gateway: " << runtime.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  HeldSignals::Release();
  const std::size_t cut = (*runtime)->Run(aPath);
  // Skips orderly destruction: a thread may wait for the store longer than the
  // platform allows for a process to end, and no state here needs it.
  std::_Exit(static_cast<int>(cut == 0 ? ExitCode::Ok : ExitCode::Refused));
}

} // namespace

int
RunGatewayCommand(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErr,
                  const PortsFactory& aPorts)
{
  CommandLine line(
    "gateway", "Runs a node that serves published routes.", aOut, aErr);
  const auto& file =
    line.Value("settings", "FILE", "YAML settings of the node", true);
  if (const auto code = line.Parse(aArguments)) {
    return static_cast<int>(*code);
  }
  HeldSignals::Hold();
  // The write to a closed connection reports the error instead.
  std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
  const int code = RunNode(file.getValue(), aErr, aPorts);
  HeldSignals::Release();
  return code;
}

} // namespace nutmegrock::cli
