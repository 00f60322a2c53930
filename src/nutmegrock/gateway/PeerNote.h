#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "overload/RouteCosts.h"
#include "overload/ServiceLoads.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::gateway {

/// Calls of the serving node's server to another service, whose number it
/// limits.
struct DownstreamCutoff
{
  std::string mService;
  /// Rank up to which runs that make such calls are served.
  double mCutoff = overload::kOpenRank;
  /// Such runs per second.
  double mRate = 0;

  bool operator==(const DownstreamCutoff&) const = default;
};

/// What a serving node reports to the entry node with a response.
struct PeerNote
{
  /// Demand as a share of the capacity of its server; see WorkQueue::Load().
  double mLoad = 0;
  /// Running and waiting calls; see WorkQueue::Occupancy().
  double mOccupancy = 0;
  /// Rank up to which its server serves calls.
  double mCutoff = overload::kOpenRank;
  /// Calls that each node of another service may have in progress at its
  /// server; see CallerWindows.
  std::uint32_t mWindow = 0;
  std::vector<DownstreamCutoff> mDownstream;
  /// Time that the request waited for a slot of the server.
  std::chrono::milliseconds mQueueTime{ 0 };
  /// Time from then to the head of the server's response.
  std::chrono::milliseconds mRunTime{ 0 };
  /// How long work takes at the server, in percent of the usual time; see
  /// overload::WorkTime. Not sent if it is the usual time.
  std::uint32_t mWorkPercent = core::kUsualWorkPercent;
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
