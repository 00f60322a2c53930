#pragma once

#include "core/Error.h"
#include "core/Time.h"
#include "membership/Actions.h"
#include "membership/Gossip.h"
#include "membership/MemberTable.h"
#include "membership/MemberView.h"
#include "membership/MembershipSettings.h"
#include "membership/Merger.h"
#include "membership/Outbox.h"
#include "membership/Prober.h"
#include "membership/Random.h"
#include "membership/Suspicions.h"
#include "membership/Sync.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::membership {

/// What the own node says about itself.
struct OwnState
{
  MemberState mState = MemberState::Starting;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// See Member::mJoinedMs.
  std::int64_t mJoinedMs = 0;

  bool operator==(const OwnState&) const = default;
};

/// Membership of one node: SWIM (Das, Gupta and Motivala, DSN 2002) with
/// suspicion and the extensions of Lifeguard (Dadgar, Phillips and Currey, DSN
/// workshops 2018), with a slow comparison of whole tables beside it. Performs
/// no I/O and reads no clock. Not safe for concurrent use.
class Membership
{
public:
  /// Control request that exchanges table pages.
  static constexpr std::string_view kPullMethod = "members.pull";

  /// aOwn is the own record; aProfileVersion returns the profile version in
  /// force at this node; aSeed seeds the random choices.
  Membership(MembershipSettings aSettings,
             Member aOwn,
             std::function<std::uint64_t()> aProfileVersion,
             std::uint64_t aSeed);
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Adds addresses that are pinged while no other member is known. The own
  /// address is left out.
  void AddSeeds(const std::vector<core::Address>& aSeeds);
  /// Pings further addresses once, such as freshly read seed rows.
  Actions Contact(core::TimePoint aNow,
                  const std::vector<core::Address>& aAddresses);

  /// Takes in one datagram.
  Actions Handle(core::TimePoint aNow,
                 const core::Address& aFrom,
                 const Message& aMessage);
  /// Runs what is due; called at least ten times per period.
  Actions Tick(core::TimePoint aNow);
  /// Answers a control request. Fails with NotFound for an unknown method and
  /// ProtocolError for a malformed argument.
  core::Expected<std::string> HandleControl(core::TimePoint aNow,
                                            std::string_view aMethod,
                                            std::string_view aArgument);
  /// Takes in the answer to a control request of Actions.
  Actions HandleResponse(core::TimePoint aNow,
                         std::uint64_t aId,
                         const core::Expected<std::string>& aResponse);

  /// Publishes a changed own record. A node that has left stays left.
  Actions SetOwnState(core::TimePoint aNow, const OwnState& aState);
  /// Publishes the state Left and sends it straight to some members. Each
  /// further call sends it to others.
  Actions Leave(core::TimePoint aNow);
  /// Tells 4 random members of a profile version.
  Actions NotifyVersion(std::uint64_t aVersion);

  /// The members at present. Built when first asked for after a change.
  MemberViewPtr View();
  /// The own record.
  const MemberPtr& Own() const { return mTable.Own().mMember; }
  /// Whether most of the own recent probes failed.
  bool IsIsolated() const { return mProber.IsIsolated(); }
  /// Number of changes still to be passed on.
  std::size_t PendingGossip() const { return mGossip.Size(); }
  const MemberTable& Table() const { return mTable; }
  const MembershipCounts& Counts() const { return mMerger.Counts(); }

private:
  void HandlePing(core::TimePoint aNow,
                  const core::Address& aFrom,
                  const Message& aMessage,
                  Actions& aActions);
  void HandleAck(core::TimePoint aNow,
                 const core::Address& aFrom,
                 const Message& aMessage,
                 Actions& aActions);
  void NoteSender(core::TimePoint aNow,
                  const core::Address& aFrom,
                  const Message& aMessage,
                  Actions& aActions);
  void Merge(core::TimePoint aNow,
             const Change& aChange,
             bool aPassOn,
             Actions& aActions);
  void NoteView(bool aChanged, Actions& aActions);
  void Apply(core::TimePoint aNow, const ProbeSteps& aSteps, Actions& aActions);
  void Publish(const OwnState& aState);
  void TickSuspicions(core::TimePoint aNow, Actions& aActions);
  void TellSuspect(core::TimePoint aNow,
                   core::Incarnation aIncarnation,
                   Actions& aActions);
  void TickSeeds(core::TimePoint aNow, Actions& aActions);
  void TickSync(core::TimePoint aNow, Actions& aActions);
  void TickTable(core::TimePoint aNow, Actions& aActions);
  void RequestPage(const Sync::Run& aRun, Actions& aActions);
  core::Duration Jittered(core::Duration aMean);

  MembershipSettings mSettings;
  Random mRandom;
  MemberTable mTable;
  Prober mProber;
  Suspicions mSuspicions;
  Gossip mGossip;
  Merger mMerger;
  Sync mSync;
  Outbox mOutbox;
  std::vector<core::Address> mSeeds;
  core::TimePoint mLastTick;
  core::TimePoint mNextSeeds;
  core::TimePoint mNextDeadProbe;
  core::TimePoint mNextExpiry;
  std::uint64_t mViewNumber = 0;
  MemberViewPtr mView;
};

} // namespace nutmegrock::membership
