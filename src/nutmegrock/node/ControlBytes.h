#pragma once

#include "membership/udp/MembershipCounters.h"
#include "metrics/Registry.h"

namespace nutmegrock::node {

/// Updates nutmegrock_control_bytes_total from the membership's counters.
void
UpdateControlBytes(metrics::Registry& aRegistry,
                   const membership::udp::MembershipCounters& aCounters);

} // namespace nutmegrock::node
