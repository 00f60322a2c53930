#pragma once

#include "core/Error.h"
#include "gateway/Ports.h"
#include "settings/GatewaySettings.h"

#include <memory>
#include <string>

namespace nutmegrock::gateway {

/// A running node that serves published routes.
class GatewayRuntime
{
public:
  /// Opens all listeners. Fails with InvalidSettings.
  static core::Expected<std::unique_ptr<GatewayRuntime>> Start(
    const settings::GatewaySettings& aSettings,
    Ports aPorts);

  GatewayRuntime(const GatewayRuntime&) = delete;
  GatewayRuntime& operator=(const GatewayRuntime&) = delete;
  ~GatewayRuntime();

  /// Serves on the calling thread until a signal to stop has been handled: new
  /// work goes to other nodes, and requests in flight end. Returns the number
  /// of requests cut off. Reads aSettingsPath again after SIGHUP and when its
  /// text differs from aSettingsText, with which the node was started.
  std::size_t Run(const std::string& aSettingsPath, std::string aSettingsText);

private:
  class Components;
  explicit GatewayRuntime(std::unique_ptr<Components> aComponents);

  std::unique_ptr<Components> mComponents;
};

} // namespace nutmegrock::gateway
