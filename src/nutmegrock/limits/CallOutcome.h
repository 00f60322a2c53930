#pragma once

#include "core/Time.h"

#include <cstdint>

namespace nutmegrock::limits {

/// How a call at the backend server ended, as far as load is concerned.
enum class CallOutcomeKind : std::uint8_t
{
  /// The backend server answered, whatever the HTTP status.
  Ok,
  /// The backend server refused it because of its own load.
  Shed,
  /// Connection or protocol error.
  Failed,
  /// No answer before the deadline.
  TimedOut,
  /// The caller gave up.
  Cancelled
};

/// What the node observed about one finished call.
struct CallOutcome
{
  /// Time from start to end at the backend server, without queueing here.
  core::Duration mLatency{ 0 };
  CallOutcomeKind mKind = CallOutcomeKind::Ok;

  bool operator==(const CallOutcome&) const = default;
};

} // namespace nutmegrock::limits
