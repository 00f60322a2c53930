#pragma once

#include "core/Time.h"
#include "retry/RetryAllowance.h"
#include "settings/GatewaySettings.h"

namespace nutmegrock::gateway {

/// Limits on retries that keep the total of all nodes within the bounds.
retry::RetryAllowanceSettings
AllowanceOf(const settings::GatewayBounds& aBounds);

/// Part of the time to drain during which requests in transit still start.
core::Duration
LeaveGracePeriodOf(const settings::GatewayBounds& aBounds);

} // namespace nutmegrock::gateway
