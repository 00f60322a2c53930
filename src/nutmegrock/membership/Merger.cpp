#include "membership/Merger.h"

namespace nutmegrock::membership {

Merger::Merger(MemberTable& aTable,
               Prober& aProber,
               Suspicions& aSuspicions,
               Gossip& aGossip,
               Random& aRandom)
  : mTable(aTable)
  , mProber(aProber)
  , mSuspicions(aSuspicions)
  , mGossip(aGossip)
  , mRandom(aRandom)
{
}

bool
Merger::Merge(core::TimePoint aNow, const Change& aChange, bool aForward)
{
  const core::Incarnation incarnation = aChange.mMember->mIncarnation;
  if (incarnation == mTable.Own().mMember->mIncarnation) {
    RefuteIfAccused(aChange);
    return false;
  }
  const MergeResult result = mTable.Merge(aNow, aChange);
  if (result.mAppeared) {
    mProber.Insert(incarnation, mRandom);
  }
  if (result.mReplaced.IsKnown()) {
    mSuspicions.Clear(result.mReplaced);
    mGossip.Add(result.mReplaced);
  }
  const bool confirmed = UpdateSuspicion(aChange);
  if (aForward && (result.mChanged || confirmed)) {
    mGossip.Add(incarnation);
  }
  return result.mViewChanged;
}

bool
Merger::UpdateSuspicion(const Change& aChange)
{
  const core::Incarnation incarnation = aChange.mMember->mIncarnation;
  const MemberTable::Entry* entry = mTable.Find(incarnation);
  if (entry == nullptr || entry->mLiveness != Liveness::Suspect ||
      entry->HasLeft()) {
    mSuspicions.Clear(incarnation);
    return false;
  }
  return aChange.mLiveness == Liveness::Suspect &&
         aChange.mRefutation == entry->mRefutation &&
         mSuspicions.Accuse(incarnation,
                            aChange.mAccuser,
                            aChange.mRefutation,
                            mProber.EndedProbes());
}

void
Merger::RefuteIfAccused(const Change& aChange)
{
  const MemberTable::Entry& own = mTable.Own();
  if (aChange.mLiveness == Liveness::Alive ||
      aChange.mRefutation < own.mRefutation || own.HasLeft()) {
    return;
  }
  mTable.Refute(aChange.mRefutation);
  mGossip.Add(own.mMember->mIncarnation);
  mProber.IncrementHealthScore();
  ++mCounts.mRefuted;
}

void
Merger::Suspect(core::TimePoint aNow, core::Incarnation aIncarnation)
{
  const MemberTable::Entry* entry = mTable.Find(aIncarnation);
  // Failed probes of an isolated node say nothing about the other members.
  if (entry == nullptr || !entry->IsPresent() || mProber.IsIsolated()) {
    return;
  }
  ++mCounts.mSuspected;
  const Change suspect{ entry->mMember,
                        Liveness::Suspect,
                        entry->mRefutation,
                        {},
                        mTable.Own().mMember->mIncarnation };
  Merge(aNow, suspect, true);
}

bool
Merger::DeclareDead(core::TimePoint aNow, core::Incarnation aIncarnation)
{
  const MemberTable::Entry* entry = mTable.Find(aIncarnation);
  if (entry == nullptr || !entry->IsPresent()) {
    return false;
  }
  ++mCounts.mDeclaredDead;
  const Change dead{
    entry->mMember, Liveness::Dead, entry->mRefutation, {}, {}
  };
  return Merge(aNow, dead, true);
}

} // namespace nutmegrock::membership
