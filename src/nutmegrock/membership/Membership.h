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
#include "membership/TableSync.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegrock::membership {

/// State that this node reports about itself.
struct OwnState
{
  MemberState mState = MemberState::Starting;
  std::uint32_t mSlots = 0;
  std::uint32_t mConnections = 0;
  /// See Member::mJoinedMs.
  std::int64_t mJoinedMs = 0;

  bool operator==(const OwnState&) const = default;
};

/// Membership protocol of one node: SWIM (Das, Gupta and Motivala, DSN 2002)
/// with suspicion, the extensions of Lifeguard (Dadgar, Phillips and Currey,
/// DSN workshops 2018), and a slow anti-entropy comparison of whole tables.
/// Performs no I/O and reads no clock. Not thread-safe.
class Membership
{
public:
  /// Control method that returns table pages.
  static constexpr std::string_view kPullMethod = "members.pull";

  /// aOwn is the record of this node, aProfileVersion returns the profile
  /// version in force on this node, and aSeed seeds the random choices;
  /// aProfileAge is what this node tells others, nothing if empty.
  Membership(MembershipSettings aSettings,
             Member aOwn,
             std::function<std::uint64_t()> aProfileVersion,
             std::uint64_t aSeed,
             Outbox::AgeHook aProfileAge = {});
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  /// Adds addresses that are pinged often while no other member is known and
  /// now and then afterwards. The address of this node is left out.
  void AddSeeds(const std::vector<core::Address>& aSeeds);
  /// Replaces these addresses.
  void SetSeeds(const std::vector<core::Address>& aSeeds);
  /// Pings more addresses once, such as those of newly read seed rows.
  Actions PingAddresses(core::TimePoint aNow,
                        const std::vector<core::Address>& aAddresses);

  /// Handles a received datagram.
  Actions Handle(core::TimePoint aNow,
                 const core::Address& aFrom,
                 const Message& aMessage);
  /// Performs what is due. Must be called at least ten times per protocol
  /// period.
  Actions Tick(core::TimePoint aNow);
  /// Handles a control request and returns its response. Fails with NotFound
  /// for an unknown method and ProtocolError for a malformed argument.
  core::Expected<std::string> HandleControl(core::TimePoint aNow,
                                            std::string_view aMethod,
                                            std::string_view aArgument);
  /// Handles the response to a control request of Actions.
  Actions HandleResponse(core::TimePoint aNow,
                         std::uint64_t aId,
                         const core::Expected<std::string>& aResponse);

  /// Publishes a changed state of this node. Has no effect after Leave().
  Actions SetOwnState(core::TimePoint aNow, const OwnState& aState);
  /// Publishes the state Left and sends it directly to some members. Each
  /// further call sends it to others.
  Actions Leave(core::TimePoint aNow);
  /// Notifies 4 random members of a profile version.
  Actions NotifyVersion(std::uint64_t aVersion);
  /// Notifies 4 random members of the age of the profile version in force.
  Actions NotifyAge();

  /// The current members. Built on the first call after a change.
  MemberViewPtr View();
  /// The record of this node.
  const MemberPtr& Own() const { return mTable.Own().mMember; }
  /// True if most of the recent probes by this node failed.
  bool IsIsolated() const { return mProber.IsIsolated(); }
  /// Number of changes still to be disseminated.
  std::size_t PendingGossip() const { return mGossip.Size(); }
  const MemberTable& Table() const { return mTable; }
  const MembershipCounts& Counts() const { return mMerger.Counts(); }

private:
  Actions Notify(std::size_t aRecipients, std::uint64_t aVersion);
  /// True if this process reads datagrams as they arrive. Those that waited
  /// while it was paused are older than their content says.
  bool IsPrompt(core::TimePoint aNow) const;
  void HandlePing(core::TimePoint aNow,
                  const core::Address& aFrom,
                  const Message& aMessage,
                  Actions& aActions);
  void HandleAck(core::TimePoint aNow,
                 const core::Address& aFrom,
                 const Message& aMessage,
                 Actions& aActions);
  void UpdateSender(core::TimePoint aNow,
                    const core::Address& aFrom,
                    const Message& aMessage,
                    Actions& aActions);
  void Merge(core::TimePoint aNow,
             const Change& aChange,
             bool aForward,
             Actions& aActions);
  void RecordViewChange(bool aChanged, Actions& aActions);
  void Apply(core::TimePoint aNow, const ProbeSteps& aSteps, Actions& aActions);
  void Publish(const OwnState& aState);
  void TickSuspicions(core::TimePoint aNow, Actions& aActions);
  void NotifySuspect(core::TimePoint aNow,
                     core::Incarnation aIncarnation,
                     Actions& aActions);
  void TickSeeds(core::TimePoint aNow, Actions& aActions);
  void TickSync(core::TimePoint aNow, Actions& aActions);
  void TickTable(core::TimePoint aNow, Actions& aActions);
  void RequestPage(const TableSync::Run& aRun, Actions& aActions);
  core::Duration Jittered(core::Duration aMean);

  MembershipSettings mSettings;
  Random mRandom;
  MemberTable mTable;
  Prober mProber;
  Suspicions mSuspicions;
  Gossip mGossip;
  Merger mMerger;
  TableSync mSync;
  Outbox mOutbox;
  std::vector<core::Address> mSeeds;
  core::TimePoint mLastTick;
  /// Until when datagrams that waited may be read.
  core::TimePoint mLateUntil;
  core::TimePoint mNextSeeds;
  core::TimePoint mNextDeadProbe;
  core::TimePoint mNextExpiry;
  std::uint64_t mViewNumber = 0;
  MemberViewPtr mView;
};

} // namespace nutmegrock::membership
