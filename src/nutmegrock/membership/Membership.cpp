#include "membership/Membership.h"

#include "membership/Codec.h"
#include "membership/SeedRowRemoval.h"
#include "membership/TablePage.h"

#include <algorithm>
#include <memory>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::membership {

namespace {

/// Members notified of a new profile version, as in the design page.
constexpr std::size_t kVersionRecipients = 4;

/// Members notified of an age. If each that is notified passes it on to four,
/// 98 of 100 members hear of it; the others hear it with an ack, or read
/// themselves.
constexpr std::size_t kAgeRecipients = 4;

/// Delay of a tick from which datagrams may have waited, and the time in which
/// they are read then.
constexpr core::Duration kMaxTickDelay = std::chrono::milliseconds(400);
constexpr core::Duration kCatchUpTime = std::chrono::milliseconds(100);

/// Members notified directly by each call of Leave(). With the three calls of
/// the service a leaving node reaches 24 members without relying on a single
/// datagram.
constexpr std::size_t kLeaveRecipients = 8;

/// Seeds pinged at a time while no other member is known.
constexpr std::size_t kMaxSeedPings = 4;

/// Mean interval between pings of a seed once other members are known. Merges
/// meshes that formed separately while the seeds were unreachable.
constexpr core::Duration kJoinedSeedInterval = std::chrono::seconds(30);

/// Interval between searches for expired members, each of which visits all
/// entries.
constexpr core::Duration kExpiryInterval = std::chrono::seconds(10);

/// Maximum number of changes of one table exchange that are also forwarded as
/// gossip. For more, as at join and after a long partition, the table exchanges
/// of the other members are cheaper.
constexpr std::size_t kMaxForwarded = 64;

} // namespace

Membership::Membership(MembershipSettings aSettings,
                       Member aOwn,
                       std::function<std::uint64_t()> aProfileVersion,
                       std::uint64_t aSeed,
                       Outbox::AgeHook aProfileAge)
  : mSettings(aSettings)
  , mRandom(aSeed)
  , mTable(std::move(aOwn), mSettings)
  , mProber(mSettings)
  , mSuspicions(mSettings, Own()->mIncarnation)
  , mMerger(mTable, mProber, mSuspicions, mGossip, mRandom)
  , mSync(mSettings)
  , mOutbox(mTable, mGossip, std::move(aProfileVersion), std::move(aProfileAge))
{
  mGossip.Add(Own()->mIncarnation);
}

void
Membership::SetSeeds(const std::vector<core::Address>& aSeeds)
{
  mSeeds.clear();
  AddSeeds(aSeeds);
}

void
Membership::AddSeeds(const std::vector<core::Address>& aSeeds)
{
  for (const core::Address& seed : aSeeds) {
    if (seed != Own()->mAddress &&
        std::find(mSeeds.begin(), mSeeds.end(), seed) == mSeeds.end()) {
      mSeeds.push_back(seed);
    }
  }
}

Actions
Membership::PingAddresses(core::TimePoint aNow,
                          const std::vector<core::Address>& aAddresses)
{
  Actions actions;
  for (const core::Address& address : aAddresses) {
    if (!mTable.MemberAt(address).IsKnown()) {
      mOutbox.SendPing(aNow, actions, address, {}, Outbox::kNoSequence);
    }
  }
  return actions;
}

Actions
Membership::Handle(core::TimePoint aNow,
                   const core::Address& aFrom,
                   const Message& aMessage)
{
  Actions actions;
  if (!aMessage.mSender.IsKnown() || aMessage.mSender == Own()->mIncarnation) {
    return actions;
  }
  if (aMessage.mProfileVersion > mOutbox.ProfileVersion()) {
    actions.mNewerVersions.push_back({ aFrom, aMessage.mProfileVersion });
  } else if (aMessage.mProfileAge && aMessage.mProfileVersion > 0 &&
             IsPrompt(aNow)) {
    actions.mProfileAge = aMessage.mProfileAge;
  }
  for (const Change& change : aMessage.mChanges) {
    Merge(aNow, change, true, actions);
  }
  UpdateSender(aNow, aFrom, aMessage, actions);
  switch (aMessage.mKind) {
    case MessageKind::Ping:
      HandlePing(aNow, aFrom, aMessage, actions);
      break;
    case MessageKind::PingRequest:
      Apply(aNow, mProber.StartIndirectProbe(aNow, aFrom, aMessage), actions);
      break;
    case MessageKind::Ack:
      HandleAck(aNow, aFrom, aMessage, actions);
      break;
    case MessageKind::Update:
    case MessageKind::VersionNotice:
      break;
  }
  return actions;
}

void
Membership::UpdateSender(core::TimePoint aNow,
                         const core::Address& aFrom,
                         const Message& aMessage,
                         Actions& aActions)
{
  const bool isAck = aMessage.mKind == MessageKind::Ack;
  const MemberTable::Entry* entry = mTable.Find(aMessage.mSender);
  if (entry == nullptr) {
    // An unknown node that acks is a seed or belongs to another mesh.
    if (isAck && !aMessage.mNegative && mSync.MayStart(aNow) &&
        !mTable.IsExpiredLeaver(aMessage.mSender)) {
      RequestPage(mSync.Start(aNow, aFrom, aMessage.mSender), aActions);
    }
    return;
  }
  if (aMessage.mRefutation > entry->mRefutation) {
    const Change alive{
      entry->mMember, Liveness::Alive, aMessage.mRefutation, {}, {}
    };
    Merge(aNow, alive, true, aActions);
  }
  // A late ack shows that the suspect is alive. It is notified so that it
  // refutes. Acks of these pings carry no sequence number, which keeps this
  // from repeating.
  if (isAck && aMessage.mSequence != Outbox::kNoSequence &&
      mTable.AccusationOf(aNow, aMessage.mSender).mMember) {
    mOutbox.SendPing(
      aNow, aActions, aFrom, aMessage.mSender, Outbox::kNoSequence);
  }
}

void
Membership::HandlePing(core::TimePoint aNow,
                       const core::Address& aFrom,
                       const Message& aMessage,
                       Actions& aActions)
{
  Message ack = mOutbox.Make(MessageKind::Ack);
  ack.mSequence = aMessage.mSequence;
  ack.mTarget = Own()->mIncarnation;
  const MemberTable::Entry* sender = mTable.Find(aMessage.mSender);
  ack.mRecordRequested =
    sender == nullptr ? !mTable.IsExpiredLeaver(aMessage.mSender)
                      : sender->mMember->mVersion < aMessage.mRecordVersion;
  if (Change accusation = mTable.AccusationOf(aNow, aMessage.mSender);
      accusation.mMember) {
    ack.mChanges.push_back(std::move(accusation));
  }
  // A sender that missed a refutation receives it here, before it acts on
  // outdated state.
  for (const Change& received : aMessage.mChanges) {
    const auto* entry = mTable.Find(received.mMember->mIncarnation);
    if (entry != nullptr && received.mLiveness != Liveness::Alive &&
        received.mRefutation < entry->mRefutation) {
      Gossip::AddIfFits(MemberTable::ChangeOf(aNow, *entry), ack);
    }
  }
  mOutbox.Send(aNow, aActions, aFrom, std::move(ack));
}

void
Membership::HandleAck(core::TimePoint aNow,
                      const core::Address& aFrom,
                      const Message& aMessage,
                      Actions& aActions)
{
  if (aMessage.mRecordRequested) {
    mOutbox.SendOwnRecord(aNow, aActions, aFrom);
  }
  Apply(aNow, mProber.HandleAck(aMessage), aActions);
}

void
Membership::Merge(core::TimePoint aNow,
                  const Change& aChange,
                  bool aForward,
                  Actions& aActions)
{
  RecordViewChange(mMerger.Merge(aNow, aChange, aForward), aActions);
}

void
Membership::RecordViewChange(bool aChanged, Actions& aActions)
{
  if (aChanged) {
    aActions.mViewChanged = true;
    mView.reset();
  }
}

void
Membership::Apply(core::TimePoint aNow,
                  const ProbeSteps& aSteps,
                  Actions& aActions)
{
  if (aSteps.mFailed.IsKnown()) {
    mMerger.Suspect(aNow, aSteps.mFailed);
    NotifySuspect(aNow, aSteps.mFailed, aActions);
  }
  if (aSteps.mReplaced.IsKnown()) {
    RecordViewChange(mMerger.DeclareDead(aNow, aSteps.mReplaced), aActions);
  }
  for (const auto& ping : aSteps.mPings) {
    mOutbox.SendPing(aNow, aActions, ping.mTo, ping.mTarget, ping.mSequence);
  }
  for (const auto& request : aSteps.mRequests) {
    Message message = mOutbox.Make(MessageKind::PingRequest);
    message.mTarget = request.mTarget;
    message.mTargetAddress = request.mTargetAddress;
    message.mSequence = request.mSequence;
    mOutbox.Send(aNow, aActions, request.mHelper, std::move(message));
  }
  for (const auto& relay : aSteps.mRelays) {
    Message message = mOutbox.Make(MessageKind::Ack);
    message.mTarget = relay.mTarget;
    message.mSequence = relay.mSequence;
    message.mNegative = relay.mNegative;
    mOutbox.Send(aNow, aActions, relay.mTo, std::move(message));
  }
}

Actions
Membership::Tick(core::TimePoint aNow)
{
  Actions actions;
  if (Own()->mState == MemberState::Left) {
    return actions;
  }
  TickSuspicions(aNow, actions);
  Apply(aNow, mProber.Tick(aNow, mTable, mRandom), actions);
  TickSeeds(aNow, actions);
  TickSync(aNow, actions);
  TickTable(aNow, actions);
  return actions;
}

void
Membership::TickSuspicions(core::TimePoint aNow, Actions& aActions)
{
  if (mLastTick == core::TimePoint{}) {
    mLastTick = aNow;
  }
  core::Duration elapsed = aNow - std::exchange(mLastTick, aNow);
  if (elapsed > kMaxTickDelay) {
    mLateUntil = aNow + kCatchUpTime;
  }
  if (elapsed > mSettings.mPeriod) {
    // This process was paused: acks of its probe and refutations of suspects
    // arrived meanwhile and were not read.
    mProber.SkipProbe();
    mProber.IncrementHealthScore();
    mSuspicions.Restart();
    elapsed = core::Duration{ 0 };
  }
  const std::size_t members = mTable.Present().size() + 1;
  const SuspicionSteps steps = mSuspicions.Advance(elapsed, members, mProber);
  for (const core::Incarnation suspect : steps.mExpired) {
    RecordViewChange(mMerger.DeclareDead(aNow, suspect), aActions);
  }
  for (const core::Incarnation suspect : steps.mReminded) {
    // If this node reaches only a few members, most earlier sends were lost;
    // gossip takes the accusation through those few.
    mGossip.Add(suspect);
    NotifySuspect(aNow, suspect, aActions);
  }
}

void
Membership::NotifySuspect(core::TimePoint aNow,
                          core::Incarnation aIncarnation,
                          Actions& aActions)
{
  const MemberTable::Entry* entry = mTable.Find(aIncarnation);
  if (entry != nullptr && entry->mLiveness == Liveness::Suspect) {
    mOutbox.SendPing(aNow,
                     aActions,
                     entry->mMember->mAddress,
                     aIncarnation,
                     Outbox::kNoSequence);
  }
}

void
Membership::TickSeeds(core::TimePoint aNow, Actions& aActions)
{
  if (aNow < mNextSeeds || mSeeds.empty()) {
    return;
  }
  const bool alone = mTable.Present().empty();
  mNextSeeds =
    aNow + (alone ? mSettings.mSeedInterval : Jittered(kJoinedSeedInterval));
  std::shuffle(mSeeds.begin(), mSeeds.end(), mRandom);
  const std::size_t count =
    std::min(mSeeds.size(), alone ? kMaxSeedPings : std::size_t{ 1 });
  for (std::size_t i = 0; i < count; ++i) {
    if (!mTable.MemberAt(mSeeds[i]).IsKnown()) {
      mOutbox.SendPing(aNow, aActions, mSeeds[i], {}, Outbox::kNoSequence);
    }
  }
}

void
Membership::TickSync(core::TimePoint aNow, Actions& aActions)
{
  mSync.Expire(aNow, mRandom);
  if (!mSync.IsDue(aNow)) {
    return;
  }
  const auto peers =
    mTable.PickPresent(mRandom, 1, [](const MemberTable::Entry& aEntry) {
      return aEntry.mLiveness == Liveness::Alive;
    });
  if (!peers.empty()) {
    const Member& peer = *peers.front()->mMember;
    RequestPage(mSync.Start(aNow, peer.mAddress, peer.mIncarnation), aActions);
  }
}

void
Membership::TickTable(core::TimePoint aNow, Actions& aActions)
{
  const auto& dead = mTable.Dead();
  if (aNow >= mNextDeadProbe) {
    mNextDeadProbe = aNow + Jittered(mSettings.mDeadProbeInterval);
    if (!dead.empty()) {
      const MemberTable::Entry& entry =
        *mTable.Find(dead[mRandom.Below(dead.size())]);
      mOutbox.SendPing(aNow,
                       aActions,
                       entry.mMember->mAddress,
                       entry.mMember->mIncarnation,
                       Outbox::kNoSequence);
    }
  }
  if (aNow < mNextExpiry) {
    return;
  }
  mNextExpiry = aNow + kExpiryInterval;
  for (MemberPtr& member : mTable.Expire(aNow)) {
    if (!mProber.IsIsolated() && ShouldRemoveSeedRow(mTable, *member)) {
      aActions.mRowsToRemove.push_back(std::move(member));
    }
  }
}

void
Membership::RequestPage(const TableSync::Run& aRun, Actions& aActions)
{
  TablePull pull;
  pull.mBucket = aRun.mBucket;
  if (!mTable.Present().empty()) {
    const auto& digests = mTable.BucketDigests();
    pull.mDigests.assign(digests.begin(), digests.end());
  }
  aActions.mRequests.push_back({ aRun.mId,
                                 aRun.mPeer,
                                 aRun.mTarget,
                                 std::string(kPullMethod),
                                 Encode(pull) });
}

core::Expected<std::string>
Membership::HandleControl(core::TimePoint aNow,
                          std::string_view aMethod,
                          std::string_view aArgument)
{
  if (aMethod != kPullMethod) {
    return core::Fail(core::ErrorKind::NotFound,
                      fmt::format("no control method \"{}\"", aMethod));
  }
  const auto pull = DecodePull(aArgument);
  if (!pull) {
    return tl::make_unexpected(pull.error());
  }
  return Encode(PageOf(aNow, mTable, *pull));
}

Actions
Membership::HandleResponse(core::TimePoint aNow,
                           std::uint64_t aId,
                           const core::Expected<std::string>& aResponse)
{
  Actions actions;
  if (!mSync.Current() || mSync.Current()->mId != aId) {
    return actions;
  }
  const auto page =
    aResponse
      ? DecodePage(*aResponse)
      : core::Expected<TablePage>(tl::make_unexpected(aResponse.error()));
  if (!page) {
    mSync.Abort(aNow, mRandom);
    return actions;
  }
  const bool forward =
    mSync.HasCompleted() &&
    mSync.Current()->mChanges + page->mChanges.size() <= kMaxForwarded;
  for (const Change& change : page->mChanges) {
    Merge(aNow, change, forward, actions);
  }
  if (const TableSync::Run* run = mSync.Continue(aNow,
                                                 page->mNextBucket,
                                                 aResponse->size(),
                                                 page->mChanges.size(),
                                                 mRandom)) {
    RequestPage(*run, actions);
  }
  return actions;
}

void
Membership::Publish(const OwnState& aState)
{
  Member member = *Own();
  member.mState = aState.mState;
  member.mSlots = aState.mSlots;
  member.mConnections = aState.mConnections;
  member.mJoinedMs = aState.mJoinedMs;
  if (member == *Own()) {
    return;
  }
  ++member.mVersion;
  mTable.SetOwn(std::make_shared<const Member>(std::move(member)));
  mGossip.Add(Own()->mIncarnation);
  mView.reset();
}

Actions
Membership::SetOwnState(core::TimePoint /*aNow*/, const OwnState& aState)
{
  Actions actions;
  const std::uint64_t before = Own()->mVersion;
  if (Own()->mState != MemberState::Left) {
    Publish(aState);
  }
  actions.mViewChanged = Own()->mVersion != before;
  return actions;
}

Actions
Membership::Leave(core::TimePoint aNow)
{
  Actions actions = SetOwnState(aNow,
                                { MemberState::Left,
                                  Own()->mSlots,
                                  Own()->mConnections,
                                  Own()->mJoinedMs });
  const auto recipients = mTable.PickPresent(
    mRandom, kLeaveRecipients, [](const MemberTable::Entry&) { return true; });
  for (const MemberTable::Entry* entry : recipients) {
    mOutbox.SendOwnRecord(aNow, actions, entry->mMember->mAddress);
  }
  return actions;
}

bool
Membership::IsPrompt(core::TimePoint aNow) const
{
  return aNow - mLastTick <= kMaxTickDelay && aNow >= mLateUntil;
}

Actions
Membership::NotifyVersion(std::uint64_t aVersion)
{
  return Notify(kVersionRecipients, aVersion);
}

Actions
Membership::NotifyAge()
{
  return Notify(kAgeRecipients, 0);
}

Actions
Membership::Notify(std::size_t aRecipients, std::uint64_t aVersion)
{
  Actions actions;
  const auto recipients = mTable.PickPresent(
    mRandom, aRecipients, [](const MemberTable::Entry& aEntry) {
      return aEntry.mLiveness == Liveness::Alive;
    });
  for (const MemberTable::Entry* entry : recipients) {
    Message notice = mOutbox.Make(MessageKind::VersionNotice);
    if (aVersion > notice.mProfileVersion) {
      notice.mProfileVersion = aVersion;
      notice.mProfileAge.reset();
    }
    actions.mDatagrams.push_back(
      { entry->mMember->mAddress, std::move(notice) });
  }
  return actions;
}

MemberViewPtr
Membership::View()
{
  if (mView) {
    return mView;
  }
  mView = MemberView::Of(mTable, ++mViewNumber);
  return mView;
}

core::Duration
Membership::Jittered(core::Duration aMean)
{
  return std::chrono::duration_cast<core::Duration>(aMean *
                                                    (0.5 + mRandom.Unit()));
}

} // namespace nutmegrock::membership
