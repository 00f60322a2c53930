#pragma once

#include "metrics/Registry.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Counts attempts and their bytes by service, and by whether they left the
/// availability zone. Bytes between zones are paid for on most platforms. Used
/// on one thread; allocates at the first attempt of a service only.
class ZoneTraffic
{
public:
  /// The registry must outlive it.
  explicit ZoneTraffic(metrics::Registry& aRegistry);

  /// An attempt ended. aBytes: heads and bodies in both directions.
  void Count(std::string_view aService, bool aOtherZone, std::uint64_t aBytes);

private:
  struct Counters
  {
    metrics::Counter* mAttempts = nullptr;
    metrics::Counter* mBytes = nullptr;
  };
  struct Service
  {
    Counters mOwnZone;
    Counters mOtherZone;
  };

  Service MakeService(std::string_view aService);

  metrics::Registry& mRegistry;
  std::map<std::string, Service, std::less<>> mServices;
};

} // namespace nutmegrock::gateway
