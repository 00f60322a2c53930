#pragma once

#include <chrono>
#include <cstddef>

namespace nutmegrock::routes {

/// Maximum time for which a node's watch waits at the store for a change, by
/// the node's rank among all members: 0 for the first.
///
/// A connection that has gone silent is noticed when the response to a wait is
/// overdue. The first nodes wait briefly and so notice it in time for all,
/// since the others learn of a new version from them. The wait grows
/// geometrically with the rank: the calls to the store per second are bounded
/// for any number of nodes of low rank, and a node that takes over a low rank
/// has waited little longer than the one before it.
std::chrono::milliseconds
WatchWait(std::size_t aRank);

} // namespace nutmegrock::routes
