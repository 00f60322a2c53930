#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/MemberTable.h"
#include "membership/MembershipSettings.h"
#include "membership/Message.h"
#include "membership/Random.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace nutmegrock::membership {

/// What the failure detector wants done.
struct ProbeSteps
{
  struct Ping
  {
    core::Address mTo;
    core::Incarnation mTarget;
    std::uint64_t mSequence = 0;
  };
  struct Request
  {
    core::Address mHelper;
    core::Address mTargetAddress;
    core::Incarnation mTarget;
    std::uint64_t mSequence = 0;
  };
  /// Answer to a member that asked for an indirect probe.
  struct Relay
  {
    core::Address mTo;
    /// Who answered, or the target for a negative answer.
    core::Incarnation mTarget;
    std::uint64_t mSequence = 0;
    bool mNegative = false;
  };

  std::vector<Ping> mPings;
  std::vector<Request> mRequests;
  std::vector<Relay> mRelays;
  /// Members whose probe failed; unknown when there is none.
  core::Incarnation mFailed;
  /// Member at whose address another incarnation answered.
  core::Incarnation mReplaced;
};

/// Failure detector of SWIM (Das, Gupta and Motivala, DSN 2002): one member per
/// period in a shuffled round-robin order, a direct ping, then indirect ones.
/// Periods and timeouts are stretched by the local health of Lifeguard (Dadgar,
/// Phillips and Currey, 2018, section IV-A).
class Prober
{
public:
  explicit Prober(const MembershipSettings& aSettings);

  /// Starts, continues or ends the probe of this period.
  ProbeSteps Tick(core::TimePoint aNow,
                  const MemberTable& aTable,
                  Random& aRandom);
  /// Starts an indirect probe for another member.
  ProbeSteps Help(core::TimePoint aNow,
                  const core::Address& aFrom,
                  const Message& aRequest);
  /// Takes in an ack.
  ProbeSteps HandleAck(const Message& aAck);

  /// Puts a new member at a random place of the current round, so that it does
  /// not wait for the next one.
  void Insert(core::Incarnation aIncarnation, Random& aRandom);
  /// Drops what is in progress without a result, as after a pause of the
  /// process in which no answer could be read.
  void SkipProbe();

  /// Worsens the local health, after this node had to refute a suspicion or was
  /// paused.
  void Worsen();
  /// Whether more than half of the recent probes failed, of at least 3. Such a
  /// node assumes that it is cut off itself.
  bool IsIsolated() const;
  /// Count of own probes that ended.
  std::uint64_t Ended() const { return mEnded; }
  std::uint64_t EndedSince(std::uint64_t aCount) const
  {
    return mEnded - aCount;
  }
  /// Whether of the recent probes that ended after the first aCount, at least
  /// two more failed than succeeded. One more is not enough: with one of two
  /// other members dead, half of the probes fail in any order.
  bool MostlyFailedSince(std::uint64_t aCount) const;
  /// 0 when this node works well, up to the maximum of the settings.
  unsigned Health() const { return mHealth; }
  std::uint64_t NextSequence() { return ++mSequence; }

private:
  struct Probe
  {
    core::Incarnation mTarget;
    core::Address mAddress;
    std::uint64_t mSequence = 0;
    core::TimePoint mIndirectAt;
    std::size_t mHelpers = 0;
    std::size_t mNegatives = 0;
    bool mIndirect = false;
    bool mAcked = false;
  };
  struct Errand
  {
    core::Address mRequester;
    core::Incarnation mTarget;
    std::uint64_t mSequence = 0;
    core::TimePoint mUntil;
  };

  void EndProbe(ProbeSteps& aSteps);
  void StartProbe(core::TimePoint aNow,
                  const MemberTable& aTable,
                  Random& aRandom,
                  ProbeSteps& aSteps);
  void AskHelpers(const MemberTable& aTable,
                  Random& aRandom,
                  ProbeSteps& aSteps);
  const MemberTable::Entry* NextTarget(const MemberTable& aTable,
                                       Random& aRandom);
  void NoteResult(bool aFailed);

  core::Duration mPeriod;
  core::Duration mPingTimeout;
  std::size_t mIndirectProbes;
  std::size_t mWindow;
  unsigned mMaxHealth;
  unsigned mHealth = 0;
  std::uint64_t mSequence = 0;
  core::TimePoint mPeriodEnd;
  std::optional<Probe> mProbe;
  /// Targets of this round, probed from the back.
  std::vector<core::Incarnation> mRound;
  std::unordered_map<std::uint64_t, Errand> mErrands;
  std::uint64_t mEnded = 0;
  /// Recent probes, true for failed.
  std::deque<bool> mRecent;
};

} // namespace nutmegrock::membership
