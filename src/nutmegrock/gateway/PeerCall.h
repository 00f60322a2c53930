#pragma once

#include "core/Error.h"
#include "core/Incarnation.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegrock::gateway {

/// What an entry node tells the serving node about a request, beside what the
/// caller sent.
struct PeerCall
{
  /// Run of the node that is meant; another one at the same address refuses.
  core::Incarnation mTarget;
  /// Service that is to run the request.
  std::string mService;
  /// Service of the backend server beside the entry node.
  std::string mCallerService;
  std::string mRoute;
  /// Time left until an answer loses part of its benefit; may be negative.
  std::chrono::milliseconds mObjectiveLeft{ 0 };
  /// Time left until nobody waits for the answer.
  std::chrono::milliseconds mTimeLeft{ 0 };
  /// Probability that this is a further attempt or a call of one, in
  /// thousandths.
  std::uint32_t mRepeatPermille = 0;
  /// The entry node does not know the route's cost; the answer is to bring it.
  bool mCostRequested = false;

  bool operator==(const PeerCall&) const = default;
};

/// The call as one header value.
std::string
Encode(const PeerCall& aCall);

/// Fails with ProtocolError.
core::Expected<PeerCall>
DecodePeerCall(std::string_view aText);

} // namespace nutmegrock::gateway
