#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/MembershipSettings.h"
#include "membership/Prober.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegrock::membership {

/// What follows from the suspicion timers.
struct SuspicionSteps
{
  /// Suspects whose timeout elapsed: they are dead.
  std::vector<core::Incarnation> mExpired;
  /// Suspects to notify of the suspicion so that they can refute it.
  std::vector<core::Incarnation> mReminded;
};

/// Suspicion timers. The timeout after which a suspect is declared dead shrinks
/// with each additional accuser (Lifeguard, Dadgar et al. 2018, section IV-B),
/// so that one node with bad links takes longer than several that agree. A
/// suspicion that times out while most probes by this node since its start
/// failed starts again: then this node is isolated.
class Suspicions
{
public:
  Suspicions(const MembershipSettings& aSettings, core::Incarnation aOwn);

  /// Records an accusation. Returns true if it is to be forwarded, as the first
  /// ones by distinct members are. aProbes is the number of probes by this node
  /// so far.
  bool Accuse(core::Incarnation aSuspect,
              core::Incarnation aAccuser,
              std::uint64_t aRefutation,
              std::uint64_t aProbes);
  /// Ends the suspicion of a member.
  void Clear(core::Incarnation aSuspect);
  /// Advances all timers by aElapsed in a mesh of aMembers members.
  SuspicionSteps Advance(core::Duration aElapsed,
                         std::size_t aMembers,
                         const Prober& aProber);
  /// Restarts all timers.
  void Restart();

  /// Time until a suspect with aConfirmations confirmations is declared dead.
  core::Duration TimeoutFor(std::size_t aMembers,
                            std::size_t aConfirmations) const;
  std::size_t Size() const { return mSuspects.size(); }

private:
  struct Suspect
  {
    core::Duration mElapsed{ 0 };
    /// Time since the suspect was notified of an accusation by this node.
    core::Duration mSinceReminder{ 0 };
    std::uint64_t mRefutation = 0;
    /// Number of probes by this node at the start.
    std::uint64_t mProbes = 0;
    bool mAccusedHere = false;
    std::vector<core::Incarnation> mAccusers;
  };

  core::Incarnation mOwn;
  core::Duration mPeriod;
  double mFactor;
  double mMaxMultiple;
  std::size_t mConfirmations;
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

} // namespace nutmegrock::membership
