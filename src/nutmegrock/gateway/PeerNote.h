#pragma once

#include "core/Error.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::gateway {

/// What a serving node reports to the entry node with a response.
struct PeerNote
{
  /// Running and waiting calls of its server as a share of the concurrency
  /// limit.
  double mLoad = 0;
  /// Time that the request waited for a slot of the server.
  std::chrono::milliseconds mQueueTime{ 0 };
  /// The server accepts no new work.
  bool mLeaving = false;
  /// Version of the routes in force at the serving node.
  std::uint64_t mRouteVersion = 0;
  /// Cost of the route, if this response includes it.
  std::optional<overload::RouteCost> mCost;
  /// Loads of services in availability zones, as known to the serving node.
  std::vector<overload::LoadReport> mLoads;
  /// Set when the serving node responded itself instead of the backend server.
  std::optional<core::Error> mError;

  bool operator==(const PeerNote&) const = default;
};

/// Encodes the note as one header value. Loads and costs are rounded to
/// thousandths.
std::string
Encode(const PeerNote& aNote);

/// Fails with ProtocolError. Ignores fields of later versions.
core::Expected<PeerNote>
DecodePeerNote(std::string_view aText);

} // namespace nutmegrock::gateway
