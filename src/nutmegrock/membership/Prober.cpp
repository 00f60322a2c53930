#include "membership/Prober.h"

#include <algorithm>

namespace nutmegrock::membership {

namespace {

/// Share of the ping timeout after which a helper reports that the target did
/// not answer it, so that the report arrives before the period ends.
constexpr double kErrandShare = 0.6;

/// Probes needed before a node may take itself for isolated.
constexpr std::size_t kFewestProbes = 3;

/// Most indirect probes a node runs for others at a time.
constexpr std::size_t kMaxErrands = 1000;

} // namespace

Prober::Prober(const MembershipSettings& aSettings)
  : mPeriod(aSettings.mPeriod)
  , mPingTimeout(aSettings.mPingTimeout)
  , mIndirectProbes(aSettings.mIndirectProbes)
  , mWindow(aSettings.mProbeWindow)
  , mMaxHealth(aSettings.mMaxHealth)
{
}

ProbeSteps
Prober::Tick(core::TimePoint aNow, const MemberTable& aTable, Random& aRandom)
{
  ProbeSteps steps;
  std::erase_if(mErrands, [&](const auto& aItem) {
    const Errand& errand = aItem.second;
    if (aNow < errand.mUntil) {
      return false;
    }
    steps.mRelays.push_back(
      { errand.mRequester, errand.mTarget, errand.mSequence, true });
    return true;
  });
  if (mPeriodEnd == core::TimePoint{}) {
    // A random phase keeps nodes that start together from probing together.
    mPeriodEnd = aNow + std::chrono::duration_cast<core::Duration>(
                          mPeriod * aRandom.Unit());
    return steps;
  }
  if (aNow >= mPeriodEnd) {
    EndProbe(steps);
    StartProbe(aNow, aTable, aRandom, steps);
  } else if (mProbe && !mProbe->mAcked && !mProbe->mIndirect &&
             aNow >= mProbe->mIndirectAt) {
    AskHelpers(aTable, aRandom, steps);
  }
  return steps;
}

void
Prober::EndProbe(ProbeSteps& aSteps)
{
  if (!mProbe) {
    return;
  }
  const Probe probe = *mProbe;
  mProbe.reset();
  NoteResult(!probe.mAcked);
  if (probe.mAcked) {
    return;
  }
  // Negative answers show that the own links work and the target is at fault.
  // Lifeguard counts each missing one; counting one for each probe keeps the
  // period short until enough probes failed to see that this node is isolated.
  if (probe.mHelpers == 0 || probe.mNegatives < probe.mHelpers) {
    Worsen();
  }
  aSteps.mFailed = probe.mTarget;
}

void
Prober::StartProbe(core::TimePoint aNow,
                   const MemberTable& aTable,
                   Random& aRandom,
                   ProbeSteps& aSteps)
{
  const auto stretch = core::Duration::rep{ mHealth } + 1;
  mPeriodEnd = aNow + mPeriod * stretch;
  const MemberTable::Entry* target = NextTarget(aTable, aRandom);
  if (target == nullptr) {
    return;
  }
  Probe probe;
  probe.mTarget = target->mMember->mIncarnation;
  probe.mAddress = target->mMember->mAddress;
  probe.mSequence = NextSequence();
  probe.mIndirectAt = aNow + mPingTimeout * stretch;
  aSteps.mPings.push_back({ probe.mAddress, probe.mTarget, probe.mSequence });
  mProbe = std::move(probe);
}

void
Prober::AskHelpers(const MemberTable& aTable,
                   Random& aRandom,
                   ProbeSteps& aSteps)
{
  Probe& probe = *mProbe;
  probe.mIndirect = true;
  const auto helpers = aTable.PickPresent(
    aRandom, mIndirectProbes, [&](const MemberTable::Entry& aEntry) {
      return aEntry.mMember->mIncarnation != probe.mTarget &&
             aEntry.mLiveness == Liveness::Alive;
    });
  probe.mHelpers = helpers.size();
  for (const MemberTable::Entry* helper : helpers) {
    aSteps.mRequests.push_back({ helper->mMember->mAddress,
                                 probe.mAddress,
                                 probe.mTarget,
                                 probe.mSequence });
  }
}

const MemberTable::Entry*
Prober::NextTarget(const MemberTable& aTable, Random& aRandom)
{
  if (mRound.empty()) {
    mRound = aTable.Present();
    std::shuffle(mRound.begin(), mRound.end(), aRandom);
  }
  while (!mRound.empty()) {
    const MemberTable::Entry* entry = aTable.Find(mRound.back());
    mRound.pop_back();
    if (entry != nullptr && entry->IsPresent()) {
      return entry;
    }
  }
  return nullptr;
}

void
Prober::Insert(core::Incarnation aIncarnation, Random& aRandom)
{
  const auto place = aRandom.Below(mRound.size() + 1);
  mRound.insert(mRound.begin() + static_cast<std::ptrdiff_t>(place),
                aIncarnation);
}

ProbeSteps
Prober::Help(core::TimePoint aNow,
             const core::Address& aFrom,
             const Message& aRequest)
{
  ProbeSteps steps;
  if (mErrands.size() >= kMaxErrands) {
    return steps;
  }
  const std::uint64_t sequence = NextSequence();
  const auto patience =
    std::chrono::duration_cast<core::Duration>(mPingTimeout * kErrandShare);
  mErrands[sequence] = {
    aFrom, aRequest.mTarget, aRequest.mSequence, aNow + patience
  };
  steps.mPings.push_back(
    { aRequest.mTargetAddress, aRequest.mTarget, sequence });
  return steps;
}

ProbeSteps
Prober::HandleAck(const Message& aAck)
{
  ProbeSteps steps;
  if (const auto errand = mErrands.find(aAck.mSequence);
      errand != mErrands.end()) {
    steps.mRelays.push_back({ errand->second.mRequester,
                              aAck.mTarget,
                              errand->second.mSequence,
                              false });
    mErrands.erase(errand);
    return steps;
  }
  if (!mProbe || mProbe->mSequence != aAck.mSequence) {
    return steps;
  }
  if (aAck.mNegative) {
    ++mProbe->mNegatives;
    return steps;
  }
  if (mProbe->mAcked) {
    return steps;
  }
  mProbe->mAcked = true;
  mHealth -= mHealth > 0 ? 1 : 0;
  if (aAck.mTarget != mProbe->mTarget) {
    steps.mReplaced = mProbe->mTarget;
  }
  return steps;
}

void
Prober::SkipProbe()
{
  mProbe.reset();
  mErrands.clear();
}

void
Prober::Worsen()
{
  mHealth = std::min(mMaxHealth, mHealth + 1);
}

bool
Prober::IsIsolated() const
{
  const auto failed = std::count(mRecent.begin(), mRecent.end(), true);
  return mRecent.size() >= kFewestProbes &&
         static_cast<std::size_t>(failed) * 2 > mRecent.size();
}

bool
Prober::MostlyFailedSince(std::uint64_t aCount) const
{
  const auto count = static_cast<std::ptrdiff_t>(
    std::min<std::uint64_t>(mRecent.size(), EndedSince(aCount)));
  const auto failed = std::count(mRecent.end() - count, mRecent.end(), true);
  return failed - (count - failed) >= 2;
}

void
Prober::NoteResult(bool aFailed)
{
  ++mEnded;
  mRecent.push_back(aFailed);
  if (mRecent.size() > mWindow) {
    mRecent.pop_front();
  }
}

} // namespace nutmegrock::membership
