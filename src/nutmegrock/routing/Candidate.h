#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "core/Time.h"

#include <cstdint>
#include <string>

namespace nutmegrock::routing {

enum class CandidateState : std::uint8_t
{
  /// Announced, not ready for work.
  Starting,
  Serving,
  /// Leaving: no new work.
  Draining,
  Left
};

/// A backend server as the member table describes it.
struct Candidate
{
  core::Incarnation mIncarnation;
  /// Peer address of the node beside it.
  core::Address mPeer;
  std::string mZone;
  std::uint32_t mSlots = 1;
  CandidateState mState = CandidateState::Serving;
  /// When it joined, on this node's clock.
  core::TimePoint mJoined;

  bool operator==(const Candidate&) const = default;
};

/// The backend server chosen for one attempt.
struct Choice
{
  core::Incarnation mIncarnation;
  core::Address mPeer;
  /// The server is ejected and this call tests whether it has recovered.
  bool mProbe = false;
  /// Availability zone of the server.
  std::string mZone;

  bool operator==(const Choice&) const = default;
};

/// How an attempt ended, as far as the server's health is concerned.
enum class AttemptOutcome : std::uint8_t
{
  /// An answer came, whatever the HTTP status below 500.
  Ok,
  /// The node refused it under load; the server is healthy.
  Refused,
  /// The node or server is leaving, or has been replaced.
  Unavailable,
  /// An error answer, a connection error or a protocol error.
  Failed,
  /// No answer in time.
  TimedOut,
  /// The caller gave up; says nothing about the server.
  Cancelled
};

} // namespace nutmegrock::routing
