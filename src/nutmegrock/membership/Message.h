#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "membership/Change.h"

#include <cstdint>
#include <vector>

namespace nutmegrock::membership {

enum class MessageKind : std::uint8_t
{
  Ping,
  /// Asks the receiver to ping the target on behalf of the sender.
  PingRequest,
  Ack,
  /// Only carries changes.
  Update,
  /// Only carries the profile version.
  VersionNotice
};

/// Content of one datagram.
struct Message
{
  MessageKind mKind = MessageKind::Ping;
  /// Incarnation, refutation counter, record version and profile version of the
  /// sender.
  core::Incarnation mSender;
  std::uint64_t mRefutation = 0;
  std::uint64_t mRecordVersion = 0;
  std::uint64_t mProfileVersion = 0;
  /// Chosen by the node that probes; repeated in the answer.
  std::uint64_t mSequence = 0;
  /// Ping and PingRequest: whom it is meant for, unknown for a seed. Ack: who
  /// answered, which is not the sender when the ack is relayed.
  core::Incarnation mTarget;
  /// PingRequest: where to ping the target.
  core::Address mTargetAddress;
  /// Ack: the target did not answer the helper in time.
  bool mNegative = false;
  /// The sender lacks the receiver's current record.
  bool mWantsRecord = false;
  std::vector<Change> mChanges;
};

} // namespace nutmegrock::membership
