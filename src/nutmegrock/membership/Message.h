#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "membership/Change.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace nutmegrock::membership {

enum class MessageKind : std::uint8_t
{
  Ping,
  /// Requests that the receiver ping the target on behalf of the sender.
  PingRequest,
  Ack,
  /// Carries only changes.
  Update,
  /// Carries only the profile version.
  VersionNotice
};

/// When the store is known to have held no higher profile version than the
/// sender has in force. The clock of the store tells which of two is later,
/// since ages grow too little by the delay of each message.
struct ProfileAge
{
  std::int64_t mStoreMs = 0;
  std::chrono::milliseconds mAge{ 0 };

  bool operator==(const ProfileAge&) const = default;
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
  /// Nullopt if the sender does not know it.
  std::optional<ProfileAge> mProfileAge;
  /// Chosen by the probing node and repeated in the ack.
  std::uint64_t mSequence = 0;
  /// Ping and PingRequest: the member probed, unknown for a seed. Ack: the
  /// member that responded, which is not the sender if the ack is relayed.
  core::Incarnation mTarget;
  /// PingRequest: address of the target.
  core::Address mTargetAddress;
  /// Ack: the target did not respond to the helper in time.
  bool mNegative = false;
  /// The sender requests the receiver's current record.
  bool mRecordRequested = false;
  std::vector<Change> mChanges;
};

} // namespace nutmegrock::membership
