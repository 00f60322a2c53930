#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

namespace nutmegrock::node {

/// Waits until no call is in flight, at most 60 s. Blocks. Returns the number
/// of calls still in flight.
std::size_t
WaitUntilIdle(const std::function<std::size_t()>& aInFlight);

/// Waits until aCalls, a count that only grows, has stood still for 1 s, at
/// most 4 s, so that calls already on their way to a node that has left are
/// refused and not cut. Blocks.
void
WaitUntilQuiet(const std::function<std::uint64_t()>& aCalls);

} // namespace nutmegrock::node
