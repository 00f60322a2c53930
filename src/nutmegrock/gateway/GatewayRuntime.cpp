#include "gateway/GatewayRuntime.h"

#include "gateway/GatewayComponents.h"

#include <utility>

namespace nutmegrock::gateway {

core::Expected<std::unique_ptr<GatewayRuntime>>
GatewayRuntime::Start(const settings::GatewaySettings& aSettings, Ports aPorts)
{
  auto parts = std::make_unique<Components>(aSettings, std::move(aPorts));
  if (auto opened = parts->Open(); !opened) {
    return tl::make_unexpected(std::move(opened.error()));
  }
  return std::unique_ptr<GatewayRuntime>(new GatewayRuntime(std::move(parts)));
}

GatewayRuntime::GatewayRuntime(std::unique_ptr<Components> aComponents)
  : mComponents(std::move(aComponents))
{
}

GatewayRuntime::~GatewayRuntime() = default;

std::size_t
GatewayRuntime::Run(const std::string& aSettingsPath, std::string aSettingsText)
{
  return mComponents->Run(aSettingsPath, std::move(aSettingsText));
}

} // namespace nutmegrock::gateway
