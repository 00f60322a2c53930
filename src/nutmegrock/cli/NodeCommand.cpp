#include "cli/NodeCommand.h"

#include "cli/CommandLine.h"
#include "node/NodeRuntime.h"
#include "settings/SettingsFile.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace nutmegrock::cli {

namespace {

void
SetUpLog(const std::string& aLevel)
{
  auto logger = spdlog::stderr_logger_mt("nutmegrock");
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%e level=%l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(logger);
}

} // namespace

int
RunNodeCommand(const std::vector<std::string>& aArguments,
               std::ostream& aOut,
               std::ostream& aErr)
{
  CommandLine line(
    "node", "Runs the process beside a backend server.", aOut, aErr);
  const auto& file =
    line.Value("settings", "FILE", "YAML settings of the node", true);
  if (const auto code = line.Parse(aArguments)) {
    return static_cast<int>(*code);
  }
  const auto settings = settings::LoadNodeSettings(file.getValue());
  if (!settings) {
    aErr << settings.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  SetUpLog(settings->mLogLevel);
  // The signal handlers are installed before any thread starts, so that a stop
  // signal during startup is not lost.
  boost::asio::io_context signals_context;
  boost::asio::signal_set signals(signals_context, SIGTERM, SIGINT);
  signals.async_wait([](const boost::system::error_code&, int) {});
  const auto runtime = node::NodeRuntime::Start(*settings);
  if (!runtime) {
    aErr << "nutmegrock node: " << runtime.error().mMessage << "\n";
    return static_cast<int>(ExitCode::Refused);
  }
  signals_context.run_one();
  const std::size_t left = (*runtime)->Drain();
  return static_cast<int>(left == 0 ? ExitCode::Ok : ExitCode::Refused);
}

} // namespace nutmegrock::cli
