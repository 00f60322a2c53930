#include "cli/GatewayCommand.h"

#include "cli/CommandLine.h"
#include "cli/HeldSignals.h"
#include "cli/LossySink.h"
#include "gateway/BusyAddresses.h"
#include "gateway/DescriptorLimit.h"
#include "gateway/GatewayRuntime.h"
#include "settings/SettingsFile.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>
#include <spdlog/spdlog.h>
#include <unistd.h>
#include <utility>

namespace nutmegrock::cli {

namespace {

using std::chrono::milliseconds;

/// Time for which a start waits for a settings file that can be used. A file
/// that is being replaced may be missing or incomplete for a moment.
constexpr milliseconds kMaxSettingsWait{ 3'000 };
/// Interval between attempts of a start.
constexpr milliseconds kAttemptInterval{ 100 };
/// Failures with free addresses after which a start ends.
constexpr int kMaxFailures = 3;

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

struct LoadedSettings
{
  std::string mText;
  settings::GatewaySettings mSettings;
};

core::Expected<LoadedSettings>
LoadSettings(const std::string& aPath)
{
  return settings::ReadTextFile(aPath).and_then(
    [&aPath](const std::string& aText) {
      return settings::ParseGatewaySettings(aText, aPath)
        .map([&aText](settings::GatewaySettings aSettings) {
          return LoadedSettings{ aText, std::move(aSettings) };
        });
    });
}

/// Returns nullopt after a signal to stop.
std::optional<core::Expected<LoadedSettings>>
WaitForSettings(const std::string& aPath, std::ostream& aErr)
{
  auto loaded = LoadSettings(aPath);
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
    loaded = LoadSettings(aPath);
  }
  return loaded;
}

/// Starts the node as soon as its addresses are free, with the settings of the
/// file at that time. Returns null after a signal to stop.
core::Expected<RuntimePtr>
StartRuntime(const std::string& aPath,
             LoadedSettings& aLoaded,
             const PortsFactory& aPorts)
{
  std::optional<core::Address> reported;
  int failures = 0;
  for (;;) {
    const auto busy = gateway::FindBusyAddress(aLoaded.mSettings.mListen);
    if (!busy) {
      if (std::exchange(reported, std::nullopt)) {
        spdlog::info("event=addresses_free");
      }
      auto ports = aPorts(aLoaded.mSettings);
      if (!ports) {
        return tl::make_unexpected(std::move(ports.error()));
      }
      auto runtime =
        gateway::GatewayRuntime::Start(aLoaded.mSettings, std::move(*ports));
      // An address may have been taken since it was free.
      if (runtime || ++failures == kMaxFailures) {
        return runtime;
      }
    } else if (busy != reported) {
      spdlog::warn("event=address_busy address={}", busy->ToString());
      reported = busy;
    }
    if (HeldSignals::WaitForStop(kAttemptInterval)) {
      return RuntimePtr();
    }
    if (auto changed = LoadSettings(aPath)) {
      aLoaded = std::move(*changed);
    }
  }
}

int
RunNode(const std::string& aPath,
        std::ostream& aErr,
        const PortsFactory& aPorts)
{
  auto loaded = WaitForSettings(aPath, aErr);
  if (!loaded) {
    return static_cast<int>(ExitCode::Ok);
  }
  if (!*loaded) {
    aErr << loaded->error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  SetUpLog((*loaded)->mSettings.mLogLevel);
  const gateway::DescriptorLimit limit = gateway::RaiseDescriptorLimit();
  spdlog::info("event=descriptor_limit initial={} soft={} hard={}",
               limit.mInitial,
               limit.mSoft,
               limit.mHard);
  const auto runtime = StartRuntime(aPath, **loaded, aPorts);
  if (!runtime) {
    aErr << "nutmegrock gateway: " << runtime.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  if (!*runtime) {
    return static_cast<int>(ExitCode::Ok);
  }
  HeldSignals::Release();
  (*runtime)->Run(aPath, (*loaded)->mText);
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
  return RunNode(file.getValue(), aErr, aPorts);
}

} // namespace nutmegrock::cli
