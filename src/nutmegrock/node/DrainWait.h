#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace nutmegrock::node {

/// Blocks until no call is in flight, at most 60 s. Returns the number of calls
/// still in flight.
std::size_t
WaitUntilIdle(const std::function<std::size_t()>& aInFlight);

/// Blocks until the monotonic counter aCalls has not changed for 1 s, at most
/// 4 s, so that calls already on their way to a node that has left are refused
/// instead of aborted.
void
WaitUntilQuiet(const std::function<std::uint64_t()>& aCalls);

} // namespace nutmegrock::node
