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

/// What a serving node tells the entry node with an answer.
struct PeerNote
{
  /// Running and waiting calls of its server as a share of the limit.
  double mLoad = 0;
  /// Time for which the request waited for a slot of the server.
  std::chrono::milliseconds mWaited{ 0 };
  /// The server takes no new work.
  bool mLeaving = false;
  /// Version of the routes in force at the serving node.
  std::uint64_t mRouteVersion = 0;
  /// Cost of the route, if this answer brings it.
  std::optional<overload::RouteCost> mCost;
  /// Loads of services in availability zones that the serving node knows of.
  std::vector<overload::LoadReport> mLoads;
  /// Set when the answer is the serving node's own, in place of one of the
  /// backend server.
  std::optional<core::Error> mError;

  bool operator==(const PeerNote&) const = default;
};

/// The note as one header value. Loads and costs are rounded to thousandths.
std::string
Encode(const PeerNote& aNote);

/// Fails with ProtocolError. Fields of later versions are left out.
core::Expected<PeerNote>
DecodePeerNote(std::string_view aText);

} // namespace nutmegrock::gateway
