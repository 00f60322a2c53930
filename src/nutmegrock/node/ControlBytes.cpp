#include "node/ControlBytes.h"

#include <algorithm>

namespace nutmegrock::node {

void
UpdateControlBytes(metrics::Registry& aRegistry,
                   const membership::udp::MembershipCounters& aCounters)
{
  const auto set = [&aRegistry](const char* aDirection, std::uint64_t aBytes) {
    metrics::Counter& counter = aRegistry.CounterOf(
      "nutmegrock_control_bytes_total", { { "direction", aDirection } });
    counter.Add(aBytes - std::min(aBytes, counter.Value()));
  };
  set("sent", aCounters.mBytesSent);
  set("received", aCounters.mBytesReceived);
}

} // namespace nutmegrock::node
