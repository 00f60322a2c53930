#pragma once

#include "membership/udp/MembershipCounters.h"
#include "metrics/Registry.h"

namespace nutmegrock::node {

/// Brings nutmegrock_control_bytes_total in step with the membership's counts.
void
CountControlBytes(metrics::Registry& aRegistry,
                  const membership::udp::MembershipCounters& aCounters);

} // namespace nutmegrock::node
