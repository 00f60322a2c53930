#pragma once

#include "gateway/Ports.h"
#include "settings/GatewaySettings.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Makes the adapter for the platform in the settings.
using PortsFactory = std::function<core::Expected<gateway::Ports>(
  const settings::GatewaySettings&)>;

/// Runs `nutmegrock gateway --settings FILE`, a node that serves published
/// routes. Waits up to 3 s for settings that can be used, and without limit for
/// addresses that another socket holds. After a signal to stop it ends the
/// process with exit code 0; requests that were cut off are in the last log
/// line. Returns 1 for bad settings or a failed start, 2 for wrong usage.
/// Signals that arrive before the node handles them take effect then, and none
/// after a failed start; see HeldSignals.
int
RunGatewayCommand(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErr,
                  const PortsFactory& aPorts);

} // namespace nutmegrock::cli
