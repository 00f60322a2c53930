#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace nutmegrock::routing {

enum class CandidateState : std::uint8_t
{
  /// Announced, not ready for calls.
  Starting,
  Serving,
  /// Leaving: gets no new calls.
  Draining,
  Left
};

/// A backend server as the member table describes it.
struct Candidate
{
  core::Incarnation mIncarnation;
  /// Peer address of its node.
  core::Address mPeer;
  std::string mZone;
  std::uint32_t mSlots = 1;
  CandidateState mState = CandidateState::Serving;
  /// When it joined, by the clock of this node.
  core::TimePoint mJoined;

  bool operator==(const Candidate&) const = default;
};

/// The backend server chosen for one attempt.
struct Choice
{
  core::Incarnation mIncarnation;
  core::Address mPeer;
  /// True if the server is ejected and this call probes whether it has
  /// recovered.
  bool mProbe = false;
  /// Availability zone of the server.
  std::string mZone;

  bool operator==(const Choice&) const = default;
};

/// How an attempt ended, as relevant for the server's health.
enum class AttemptOutcome : std::uint8_t
{
  /// A response with any HTTP status below 500.
  Ok,
  /// The node refused it because of load; the server is healthy.
  Refused,
  /// The node or server is leaving, or has been replaced.
  Unavailable,
  /// An error response, a connection error or a protocol error.
  Failed,
  /// No response in time.
  TimedOut,
  /// The caller cancelled the attempt; no information about the server.
  Cancelled
};

} // namespace nutmegrock::routing
