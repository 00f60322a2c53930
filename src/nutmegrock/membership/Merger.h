#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/Change.h"
#include "membership/Gossip.h"
#include "membership/MemberTable.h"
#include "membership/MembershipCounts.h"
#include "membership/Prober.h"
#include "membership/Random.h"
#include "membership/Suspicions.h"

namespace nutmegrock::membership {

/// Takes knowledge into the table and does what follows from it: suspicion
/// timers, refutation, gossip and the round of probes.
class Merger
{
public:
  /// Keeps references to all arguments.
  Merger(MemberTable& aTable,
         Prober& aProber,
         Suspicions& aSuspicions,
         Gossip& aGossip,
         Random& aRandom);

  /// Takes in one change; with aPassOn news are passed on as gossip. Returns
  /// whether the view changed.
  bool Merge(core::TimePoint aNow, const Change& aChange, bool aPassOn);
  /// Suspects a member whose probe by this node failed. An isolated node
  /// suspects nobody.
  void Suspect(core::TimePoint aNow, core::Incarnation aIncarnation);
  /// Declares a member dead. Returns whether the view changed.
  bool DeclareDead(core::TimePoint aNow, core::Incarnation aIncarnation);

  const MembershipCounts& Counts() const { return mCounts; }

private:
  void RefuteIfAccused(const Change& aChange);
  /// Brings the suspicion timer in line with the table. Returns whether the
  /// accusation is worth passing on.
  bool UpdateSuspicion(const Change& aChange);

  MemberTable& mTable;
  Prober& mProber;
  Suspicions& mSuspicions;
  Gossip& mGossip;
  Random& mRandom;
  MembershipCounts mCounts;
};

} // namespace nutmegrock::membership
