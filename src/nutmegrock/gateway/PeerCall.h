#pragma once

#include "core/Error.h"
#include "core/Incarnation.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// What an entry node sends to the serving node about a request, in addition to
/// the caller's request.
struct PeerCall
{
  /// Incarnation of the target node; another one at the same address refuses.
  core::Incarnation mTarget;
  /// Service that is to run the request.
  std::string mService;
  /// Service of the entry node's local backend server.
  std::string mCallerService;
  std::string mRoute;
  /// Time remaining until a response loses part of its benefit; may be
  /// negative.
  std::chrono::milliseconds mObjectiveRemaining{ 0 };
  /// Time remaining until the caller stops waiting for the response.
  std::chrono::milliseconds mTimeRemaining{ 0 };
  /// Probability that this is a retry or a call of one, in thousandths.
  std::uint32_t mRetryPermille = 0;
  /// The entry node does not know the route's cost and requests it with the
  /// response.
  bool mCostRequested = false;

  bool operator==(const PeerCall&) const = default;
};

/// Encodes the call as one header value.
std::string
Encode(const PeerCall& aCall);

/// Fails with ProtocolError.
core::Expected<PeerCall>
DecodePeerCall(std::string_view aText);

} // namespace nutmegrock::gateway
