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

/// Merges changes into the table and updates what depends on it: suspicion
/// timers, refutation, gossip and the probe order.
class Merger
{
public:
  /// Keeps references to all arguments.
  Merger(MemberTable& aTable,
         Prober& aProber,
         Suspicions& aSuspicions,
         Gossip& aGossip,
         Random& aRandom);

  /// Merges a change, and with aForward queues it as gossip if it is new.
  /// Returns true if the view changed.
  bool Merge(core::TimePoint aNow, const Change& aChange, bool aForward);
  /// Suspects a member after a failed probe by this node. Has no effect if this
  /// node is isolated.
  void Suspect(core::TimePoint aNow, core::Incarnation aIncarnation);
  /// Declares a member dead. Returns true if the view changed.
  bool DeclareDead(core::TimePoint aNow, core::Incarnation aIncarnation);

  const MembershipCounts& Counts() const { return mCounts; }

private:
  void RefuteIfAccused(const Change& aChange);
  /// Updates the suspicion timer from the table. Returns true if the accusation
  /// is to be forwarded.
  bool UpdateSuspicion(const Change& aChange);

  MemberTable& mTable;
  Prober& mProber;
  Suspicions& mSuspicions;
  Gossip& mGossip;
  Random& mRandom;
  MembershipCounts mCounts;
};

} // namespace nutmegrock::membership
