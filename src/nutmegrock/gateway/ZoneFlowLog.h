#pragma once

#include "core/Time.h"
#include "metrics/Registry.h"
#include "overload/ZonePlacement.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Shows operators how many requests are placed in other zones, and why: a
/// counter by route and zone, and once a second a line for each flow. Used on
/// one thread.
class ZoneFlowLog
{
public:
  /// Receives a line without line end.
  using Writer = std::function<void(std::string_view)>;

  /// The registry must outlive it.
  ZoneFlowLog(metrics::Registry& aRegistry, Writer aWriter);

  /// Counts a request that was placed in another zone.
  void CountMoved(std::string_view aRoute, std::string_view aZone);
  /// Logs the flows. Call it every 20 ms.
  void Tick(core::TimePoint aNow, const overload::ZonePlacement& aPlacement);

private:
  metrics::Registry& mRegistry;
  const Writer mWriter;
  core::TimePoint mLoggedAt;
  bool mHadFlows = false;
};

} // namespace nutmegrock::gateway
