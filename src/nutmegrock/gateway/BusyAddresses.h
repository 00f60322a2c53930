#pragma once

#include "core/Address.h"
#include "settings/GatewaySettings.h"

#include <optional>

namespace nutmegrock::gateway {

/// Returns an address that a node needs to serve and that another socket of
/// this machine holds, or nullopt. Accepts nothing on the addresses, so that
/// callers are not connected before the node has all of them. The address for
/// metrics is not needed.
std::optional<core::Address>
FindBusyAddress(const settings::GatewayListenSettings& aListen);

} // namespace nutmegrock::gateway
