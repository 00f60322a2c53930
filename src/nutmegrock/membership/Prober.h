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

/// What the failure detector sends and concludes.
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
  /// Ack to a member that requested an indirect probe.
  struct Relay
  {
    core::Address mTo;
    /// The member that responded, or the target for a negative ack.
    core::Incarnation mTarget;
    std::uint64_t mSequence = 0;
    bool mNegative = false;
  };

  std::vector<Ping> mPings;
  std::vector<Request> mRequests;
  std::vector<Relay> mRelays;
  /// Member whose probe failed; unknown if there is none.
  core::Incarnation mFailed;
  /// Member at whose address another incarnation responded; unknown if there is
  /// none.
  core::Incarnation mReplaced;
};

/// Failure detector of SWIM (Das, Gupta and Motivala, DSN 2002): probes one
/// member per period in a shuffled round-robin order, directly and then
/// indirectly. Periods and timeouts are multiplied by the local health of
/// Lifeguard (Dadgar, Phillips and Currey, 2018, section IV-A).
class Prober
{
public:
  explicit Prober(const MembershipSettings& aSettings);

  /// Starts, continues or ends the probe of this period.
  ProbeSteps Tick(core::TimePoint aNow,
                  const MemberTable& aTable,
                  Random& aRandom);
  /// Starts an indirect probe on behalf of another member.
  ProbeSteps StartIndirectProbe(core::TimePoint aNow,
                                const core::Address& aFrom,
                                const Message& aRequest);
  /// Handles an ack.
  ProbeSteps HandleAck(const Message& aAck);

  /// Inserts a new member at a random position of the current round, so that it
  /// is probed before the next one.
  void Insert(core::Incarnation aIncarnation, Random& aRandom);
  /// Drops the probes in progress without a result, as after a pause of the
  /// process, during which no ack could be read.
  void SkipProbe();

  /// Increments the health score, after this node had to refute a suspicion or
  /// was paused.
  void IncrementHealthScore();
  /// True if more than half of the recent probes, of at least 3, failed. Such a
  /// node assumes that it is isolated.
  bool IsIsolated() const;
  /// Number of probes by this node that ended.
  std::uint64_t EndedProbes() const { return mEnded; }
  std::uint64_t EndedProbesSince(std::uint64_t aCount) const
  {
    return mEnded - aCount;
  }
  /// True if, of the recent probes that ended after the first aCount, at least
  /// two more failed than succeeded. One more is not enough: with one of two
  /// other members dead, half of the probes fail in any order.
  bool MostlyFailedSince(std::uint64_t aCount) const;
  /// Local health score: 0 when this node works well, up to the maximum of the
  /// settings.
  unsigned HealthScore() const { return mHealthScore; }
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
  struct RelayedProbe
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
  void RequestIndirectProbes(const MemberTable& aTable,
                             Random& aRandom,
                             ProbeSteps& aSteps);
  const MemberTable::Entry* NextTarget(const MemberTable& aTable,
                                       Random& aRandom);
  void RecordResult(bool aFailed);

  core::Duration mPeriod;
  core::Duration mPingTimeout;
  std::size_t mIndirectProbes;
  std::size_t mWindow;
  unsigned mMaxHealthScore;
  unsigned mHealthScore = 0;
  std::uint64_t mSequence = 0;
  core::TimePoint mPeriodEnd;
  std::optional<Probe> mProbe;
  /// Targets left in this round, probed from the back.
  std::vector<core::Incarnation> mRound;
  std::unordered_map<std::uint64_t, RelayedProbe> mRelayedProbes;
  std::uint64_t mEnded = 0;
  /// Results of recent probes, true for failed.
  std::deque<bool> mRecent;
};

} // namespace nutmegrock::membership
