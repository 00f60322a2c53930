#include "gateway/ZoneTraffic.h"

namespace nutmegrock::gateway {

namespace {

/// Maximum number of services counted; further ones are ignored.
constexpr std::size_t kMaxServices = 512;

} // namespace

ZoneTraffic::ZoneTraffic(metrics::Registry& aRegistry)
  : mRegistry(aRegistry)
{
}

ZoneTraffic::Service
ZoneTraffic::MakeService(std::string_view aService)
{
  const auto counters = [&](const char* aZone) {
    const metrics::Labels labels = { { "service", std::string(aService) },
                                     { "zone", aZone } };
    return Counters{
      &mRegistry.CounterOf("nutmegrock_zone_attempts_total", labels),
      &mRegistry.CounterOf("nutmegrock_zone_bytes_total", labels)
    };
  };
  return { counters("own"), counters("other") };
}

void
ZoneTraffic::Count(std::string_view aService,
                   bool aOtherZone,
                   std::uint64_t aBytes)
{
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    if (mServices.size() >= kMaxServices) {
      return;
    }
    found = mServices.emplace(aService, MakeService(aService)).first;
  }
  const Counters& counters =
    aOtherZone ? found->second.mOtherZone : found->second.mOwnZone;
  counters.mAttempts->Add();
  counters.mBytes->Add(aBytes);
}

} // namespace nutmegrock::gateway
