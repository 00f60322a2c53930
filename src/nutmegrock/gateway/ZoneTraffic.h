#pragma once

#include "metrics/Registry.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// Counts attempts and their bytes by service, and by whether they crossed
/// availability zones. Most platforms charge for traffic between zones. Used on
/// one thread; allocates only at the first attempt of a service.
class ZoneTraffic
{
public:
  /// The registry must outlive it.
  explicit ZoneTraffic(metrics::Registry& aRegistry);

  /// Counts a finished attempt. aBytes: heads and bodies in both directions.
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
