#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/Actions.h"
#include "membership/Gossip.h"
#include "membership/MemberTable.h"
#include "membership/Message.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace nutmegrock::membership {

/// Builds the datagrams of a node: the header about the sender, accusations of
/// the receiver, and piggybacked changes.
class Outbox
{
public:
  /// Returns when the store held no higher profile version than this node has
  /// in force; nullopt if it is not known.
  using AgeHook = std::function<std::optional<ProfileAge>()>;

  /// Sequence number of pings that belong to no probe.
  static constexpr std::uint64_t kNoSequence = 0;

  /// Keeps references to aTable and aGossip.
  Outbox(const MemberTable& aTable,
         Gossip& aGossip,
         std::function<std::uint64_t()> aProfileVersion,
         AgeHook aProfileAge);

  /// Makes a message with the header about this node.
  Message Make(MessageKind aKind) const;
  /// Piggybacks changes on the message and adds it to aActions.
  void Send(core::TimePoint aNow,
            Actions& aActions,
            const core::Address& aTo,
            Message aMessage);
  /// Adds a ping to aActions; aTarget is unknown for a seed.
  void SendPing(core::TimePoint aNow,
                Actions& aActions,
                const core::Address& aTo,
                core::Incarnation aTarget,
                std::uint64_t aSequence);
  /// Adds an update with the record of this node to aActions.
  void SendOwnRecord(core::TimePoint aNow,
                     Actions& aActions,
                     const core::Address& aTo);
  /// Profile version in force on this node.
  std::uint64_t ProfileVersion() const
  {
    return mProfileVersion ? mProfileVersion() : 0;
  }

private:
  const MemberTable& mTable;
  Gossip& mGossip;
  std::function<std::uint64_t()> mProfileVersion;
  AgeHook mProfileAge;
};

} // namespace nutmegrock::membership
