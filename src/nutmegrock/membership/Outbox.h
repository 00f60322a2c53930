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

namespace nutmegrock::membership {

/// Composes the datagrams of one node: the header about the sender, what the
/// receiver has to know about itself, and piggybacked changes.
class Outbox
{
public:
  /// Sequence number of pings whose ack no probe waits for.
  static constexpr std::uint64_t kNoSequence = 0;

  /// Keeps references to aTable and aGossip.
  Outbox(const MemberTable& aTable,
         Gossip& aGossip,
         std::function<std::uint64_t()> aProfileVersion);

  /// A message with the header about the own node.
  Message Make(MessageKind aKind) const;
  /// Adds changes to the message and queues it.
  void Send(core::TimePoint aNow,
            Actions& aActions,
            const core::Address& aTo,
            Message aMessage);
  /// Queues a ping; aTarget is unknown for a seed.
  void SendPing(core::TimePoint aNow,
                Actions& aActions,
                const core::Address& aTo,
                core::Incarnation aTarget,
                std::uint64_t aSequence);
  /// Queues an update with the own record.
  void SendOwnRecord(core::TimePoint aNow,
                     Actions& aActions,
                     const core::Address& aTo);
  /// Profile version in force at this node.
  std::uint64_t ProfileVersion() const
  {
    return mProfileVersion ? mProfileVersion() : 0;
  }

private:
  const MemberTable& mTable;
  Gossip& mGossip;
  std::function<std::uint64_t()> mProfileVersion;
};

} // namespace nutmegrock::membership
