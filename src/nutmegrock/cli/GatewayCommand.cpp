#include "cli/GatewayCommand.h"

#include "cli/CommandLine.h"
#include "cli/HeldSignals.h"
#include "cli/LossySink.h"
#include "gateway/BusyAddresses.h"
#include "gateway/GatewayRuntime.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace nutmegrock::cli {

namespace {

using std::chrono::milliseconds;

/// Time for which a start waits for a settings file that can be used. A file
/// that is being replaced may be missing or incomplete for a moment.
constexpr milliseconds kMaxSettingsWait{ 3'000 };
/// Interval between attempts of a start.
constexpr milliseconds kAttemptInterval{ 100 };

using RuntimePtr = std::unique_ptr<gateway::GatewayRuntime>;

void
SetUpLog(const std::string& aLevel)
{
  auto logger = std::make_shared<spdlog::logger>(
    "nutmegrock", std::make_shared<LossySink>(STDOUT_FILENO));
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  spdlog::set_default_logger(logger);
}

/// Returns nullopt after a signal to stop.
std::optional<core::Expected<settings::GatewaySettings>>
WaitForSettings(const std::string& aPath, std::ostream& aErr)
{
  auto loaded = settings::LoadGatewaySettings(aPath);
  std::string reported;
  for (milliseconds waited{ 0 }; !loaded && waited < kMaxSettingsWait;
       waited += kAttemptInterval) {
    if (loaded.error().mMessage != reported) {
      reported = loaded.error().mMessage;
      aErr << reported << "\nnutmegrock gateway: waiting for usable settings"
           << std::endl;
    }
    if (HeldSignals::WaitForStop(kAttemptInterval)) {
      return std::nullopt;
    }
    loaded = settings::LoadGatewaySettings(aPath);
  }
  return loaded;
}

/// Returns false after a signal to stop.
bool
WaitForAddresses(const settings::GatewayListenSettings& aListen)
{
  std::optional<core::Address> reported;
  while (const auto busy = gateway::FindBusyAddress(aListen)) {
    if (busy != reported) {
      reported = busy;
      spdlog::warn("event=address_busy address={}", busy->ToString());
    }
    if (HeldSignals::WaitForStop(kAttemptInterval)) {
      return false;
    }
  }
  if (reported) {
    spdlog::info("event=addresses_free");
  }
  return true;
}

/// Starts the node as soon as its addresses are free. Returns null after a
/// signal to stop.
core::Expected<RuntimePtr>
StartRuntime(const settings::GatewaySettings& aSettings,
             const PortsFactory& aPorts)
{
  while (WaitForAddresses(aSettings.mListen)) {
    auto ports = aPorts(aSettings);
    if (!ports) {
      return tl::make_unexpected(std::move(ports.error()));
    }
    auto runtime = gateway::GatewayRuntime::Start(aSettings, std::move(*ports));
    // An address may have been taken since it was free.
    if (runtime || !gateway::FindBusyAddress(aSettings.mListen)) {
      return runtime;
    }
  }
  return RuntimePtr();
}

int
RunNode(const std::string& aPath,
        std::ostream& aErr,
        const PortsFactory& aPorts)
{
  const auto settings = WaitForSettings(aPath, aErr);
  if (!settings) {
    return static_cast<int>(ExitCode::Ok);
  }
  if (!*settings) {
    aErr << settings->error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  SetUpLog((*settings)->mLogLevel);
  const auto runtime = StartRuntime(**settings, aPorts);
  if (!runtime) {
    aErr << "nutmegrock gateway: " << runtime.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  if (!*runtime) {
    return static_cast<int>(ExitCode::Ok);
  }
  HeldSignals::Release();
  (*runtime)->Run(aPath);
  // Skips orderly destruction: a thread may wait for the store longer than the
  // platform allows for a process to end, and no state here needs it.
  std::_Exit(static_cast<int>(ExitCode::Ok));
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
