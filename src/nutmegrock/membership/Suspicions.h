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

/// What the suspicion timers want done.
struct SuspicionSteps
{
  /// Suspects whose time is up: they are dead.
  std::vector<core::Incarnation> mExpired;
  /// Suspects to tell of the suspicion, so that they can refute it.
  std::vector<core::Incarnation> mReminded;
};

/// Timers of the suspected members. The time until a suspect is declared dead
/// shrinks with each further member that accuses it (Lifeguard, Dadgar et al.
/// 2018, section IV-B), so that one node with bad links of its own needs longer
/// than several that agree. A suspicion whose time is up while most of the own
/// probes since its start failed starts again: then this node is isolated.
class Suspicions
{
public:
  Suspicions(const MembershipSettings& aSettings, core::Incarnation aOwn);

  /// Notes an accusation. Returns whether it is worth passing on: the first
  /// ones by different members are. aProbes is the count of own probes so far.
  bool Accuse(core::Incarnation aSuspect,
              core::Incarnation aAccuser,
              std::uint64_t aRefutation,
              std::uint64_t aProbes);
  /// Ends the suspicion of a member.
  void Clear(core::Incarnation aSuspect);
  /// Adds aElapsed to all timers, among that many members.
  SuspicionSteps Advance(core::Duration aElapsed,
                         std::size_t aMembers,
                         const Prober& aProber);
  /// Starts all timers again.
  void Restart();

  /// Time until a suspect with that many confirmations is declared dead.
  core::Duration TimeoutFor(std::size_t aMembers,
                            std::size_t aConfirmations) const;
  std::size_t Size() const { return mSuspects.size(); }

private:
  struct Suspect
  {
    core::Duration mElapsed{ 0 };
    /// Since the suspect was told of an own accusation.
    core::Duration mSinceReminder{ 0 };
    std::uint64_t mRefutation = 0;
    /// Count of own probes at the start.
    std::uint64_t mProbes = 0;
    bool mAccusedHere = false;
    std::vector<core::Incarnation> mAccusers;
  };

  core::Incarnation mOwn;
  core::Duration mPeriod;
  double mFactor;
  double mSpread;
  std::size_t mConfirmations;
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

} // namespace nutmegrock::membership
