#pragma once

#include "routing/RouterSettings.h"

namespace nutmegrock::gateway {

/// Server selection settings for requests on published routes.
inline routing::RouterSettings
RouterDefaults()
{
  routing::RouterSettings settings;
  // A cold server is slow for about this long in both deployments.
  settings.mRamp = std::chrono::seconds{ 3 };
  // Below this load of the local zone calls hardly wait, and traffic between
  // zones costs money.
  settings.mSpillBegin = 0.95;
  // Whole requests leave earlier (ZonePlacement), and each call only for the
  // price of its bytes.
  settings.mSpillMargin = 0;
  // Servers of one service differ in speed by up to three times in both
  // deployments. A slower server still adds capacity, and its load shows how
  // much.
  settings.mEjection.mLatencyFactor = 6;
  return settings;
}

} // namespace nutmegrock::gateway
