#include "membership/Outbox.h"

#include <utility>

namespace nutmegrock::membership {

Outbox::Outbox(const MemberTable& aTable,
               Gossip& aGossip,
               std::function<std::uint64_t()> aProfileVersion,
               AgeHook aProfileAge)
  : mTable(aTable)
  , mGossip(aGossip)
  , mProfileVersion(std::move(aProfileVersion))
  , mProfileAge(std::move(aProfileAge))
{
}

Message
Outbox::Make(MessageKind aKind) const
{
  const MemberTable::Entry& own = mTable.Own();
  Message message;
  message.mKind = aKind;
  message.mSender = own.mMember->mIncarnation;
  message.mRefutation = own.mRefutation;
  message.mRecordVersion = own.mMember->mVersion;
  // The age first: a version that is put in force in between is higher, for
  // which it holds as well.
  message.mProfileAge = mProfileAge ? mProfileAge() : std::nullopt;
  message.mProfileVersion = ProfileVersion();
  return message;
}

void
Outbox::Send(core::TimePoint aNow,
             Actions& aActions,
             const core::Address& aTo,
             Message aMessage)
{
  mGossip.Fill(aNow, mTable, aMessage);
  aActions.mDatagrams.push_back({ aTo, std::move(aMessage) });
}

void
Outbox::SendPing(core::TimePoint aNow,
                 Actions& aActions,
                 const core::Address& aTo,
                 core::Incarnation aTarget,
                 std::uint64_t aSequence)
{
  Message message = Make(MessageKind::Ping);
  message.mTarget = aTarget;
  message.mSequence = aSequence;
  if (!aTarget.IsKnown()) {
    message.mChanges.push_back(MemberTable::ChangeOf(aNow, mTable.Own()));
  } else if (Change accusation = mTable.AccusationOf(aNow, aTarget);
             accusation.mMember) {
    // An accused member that is notified early can refute before others act.
    message.mChanges.push_back(std::move(accusation));
  }
  Send(aNow, aActions, aTo, std::move(message));
}

void
Outbox::SendOwnRecord(core::TimePoint aNow,
                      Actions& aActions,
                      const core::Address& aTo)
{
  Message message = Make(MessageKind::Update);
  message.mChanges.push_back(MemberTable::ChangeOf(aNow, mTable.Own()));
  Send(aNow, aActions, aTo, std::move(message));
}

} // namespace nutmegrock::membership
