#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/MembershipSettings.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace nutmegrock::membership {

/// Timers of the suspected members. The time until a suspect is declared dead
/// shrinks with each further member that accuses it (Lifeguard, Dadgar et al.
/// 2018, section IV-B), so that one node with bad links of its own needs longer
/// than several that agree.
class Suspicions
{
public:
  explicit Suspicions(const MembershipSettings& aSettings);

  /// Notes an accusation. Returns whether it is worth passing on: the first
  /// ones by different members are.
  bool Accuse(core::Incarnation aSuspect,
              core::Incarnation aAccuser,
              std::uint64_t aRefutation);
  /// Ends the suspicion of a member.
  void Clear(core::Incarnation aSuspect);
  /// Adds aElapsed to all timers and returns the suspects whose time is up
  /// among that many members.
  std::vector<core::Incarnation> Advance(core::Duration aElapsed,
                                         std::size_t aMembers);
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
    std::uint64_t mRefutation = 0;
    std::vector<core::Incarnation> mAccusers;
  };

  core::Duration mPeriod;
  double mFactor;
  double mSpread;
  std::size_t mConfirmations;
  std::unordered_map<std::uint64_t, Suspect> mSuspects;
};

} // namespace nutmegrock::membership
