#pragma once

#include "routing/RouterSettings.h"

namespace nutmegrock::gateway {

/// How requests on published routes choose their servers.
inline routing::RouterSettings
RouterDefaults()
{
  routing::RouterSettings settings;
  // A cold server is slow for about this long in both deployments.
  settings.mRamp = std::chrono::seconds{ 3 };
  // Below this load of the own zone a call hardly waits, and bytes between
  // zones are paid for.
  settings.mSpillBegin = 0.95;
  // The rest of the difference between zones is evened out by placing whole
  // requests, which cross zones once and not with each call.
  settings.mSpillMargin = 0.1;
  // Servers of one service differ in speed up to three times on both
  // deployments. One that is merely slower adds capacity, and its load says how
  // much.
  settings.mEjection.mLatencyFactor = 6;
  return settings;
}

} // namespace nutmegrock::gateway
