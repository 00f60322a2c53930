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
  /// Time remaining until the caller stops waiting for the response.
  std::chrono::milliseconds mTimeRemaining{ 0 };
  /// Probability that this is a retry or a call of one, in thousandths.
  std::uint32_t mRetryPermille = 0;
  /// The entry node does not know the route's cost and requests it with the
  /// response.
  bool mCostRequested = false;
  /// Rank of the request that the call belongs to, and the one by which it
  /// counts as demand, in thousandths; see WorkItem.
  std::uint32_t mRankPermille = 0;
  std::uint32_t mDemandRankPermille = 0;
  /// Time within which the call has to end for that request to complete in
  /// time; may be negative.
  std::chrono::milliseconds mFinishWithin{ 0 };
  /// Identifies the node whose backend server made the call among the callers
  /// of a service; 0 for a request of a caller.
  std::uint32_t mCallingNode = 0;
  /// Name of the tenant that sent the request; empty for none.
  std::string mTenant;

  bool operator==(const PeerCall&) const = default;
};

/// Encodes the call as one header value.
std::string
Encode(const PeerCall& aCall);

/// Fails with ProtocolError.
core::Expected<PeerCall>
DecodePeerCall(std::string_view aText);

} // namespace nutmegrock::gateway
