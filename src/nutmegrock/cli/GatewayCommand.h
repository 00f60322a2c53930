#pragma once

#include "gateway/Ports.h"
#include "settings/GatewaySettings.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace nutmegrock::cli {

/// Makes the adapter to the platform that the settings name.
using PortsFactory = std::function<core::Expected<gateway::Ports>(
  const settings::GatewaySettings&)>;

/// Runs a node that serves published routes: --settings FILE. Ends after a
/// signal to stop, with 0 when no request was cut off.
int
RunGatewayCommand(const std::vector<std::string>& aArguments,
                  std::ostream& aOut,
                  std::ostream& aErr,
                  const PortsFactory& aPorts);

} // namespace nutmegrock::cli
