#pragma once

#include "core/Time.h"

#include <cstdint>

namespace nutmegrock::limits {

/// How a call at the backend server ended, as relevant for its load.
enum class CallOutcomeKind : std::uint8_t
{
  /// The backend server responded, with any HTTP status.
  Ok,
  /// The backend server refused it because of overload.
  Shed,
  /// Connection or protocol error.
  Failed,
  /// No response before the deadline.
  TimedOut,
  /// The caller cancelled the call.
  Cancelled
};

/// Outcome of a finished call as observed by the node.
struct CallOutcome
{
  /// Time from start to end at the backend server, without the queue time at
  /// the node.
  core::Duration mLatency{ 0 };
  CallOutcomeKind mKind = CallOutcomeKind::Ok;

  bool operator==(const CallOutcome&) const = default;
};

} // namespace nutmegrock::limits
