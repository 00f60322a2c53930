#include "membership/Prober.h"

#include <algorithm>

namespace nutmegrock::membership {

namespace {

/// Share of the ping timeout after which a helper sends a negative ack, so that
/// it arrives before the period ends.
constexpr double kRelayTimeoutShare = 0.6;

/// Minimum number of probes to conclude that this node is isolated.
constexpr std::size_t kMinProbes = 3;

/// Maximum number of concurrent indirect probes on behalf of others.
constexpr std::size_t kMaxRelayedProbes = 1000;

} // namespace

Prober::Prober(const MembershipSettings& aSettings)
  : mPeriod(aSettings.mPeriod)
  , mPingTimeout(aSettings.mPingTimeout)
  , mIndirectProbes(aSettings.mIndirectProbes)
  , mWindow(aSettings.mProbeWindow)
  , mMaxHealthScore(aSettings.mMaxHealthScore)
{
}

ProbeSteps
Prober::Tick(core::TimePoint aNow, const MemberTable& aTable, Random& aRandom)
{
  ProbeSteps steps;
  std::erase_if(mRelayedProbes, [&](const auto& aItem) {
    const RelayedProbe& relayed = aItem.second;
    if (aNow < relayed.mUntil) {
      return false;
    }
    steps.mRelays.push_back(
      { relayed.mRequester, relayed.mTarget, relayed.mSequence, true });
    return true;
  });
  if (mPeriodEnd == core::TimePoint{}) {
    // A random phase keeps nodes that start together from probing at the same
    // time.
    mPeriodEnd = aNow + std::chrono::duration_cast<core::Duration>(
                          mPeriod * aRandom.Unit());
    return steps;
  }
  if (aNow >= mPeriodEnd) {
    EndProbe(steps);
    StartProbe(aNow, aTable, aRandom, steps);
  } else if (mProbe && !mProbe->mAcked && !mProbe->mIndirect &&
             aNow >= mProbe->mIndirectAt) {
    RequestIndirectProbes(aTable, aRandom, steps);
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
  RecordResult(!probe.mAcked);
  if (probe.mAcked) {
    return;
  }
  // Negative acks show that the links of this node work and the target is at
  // fault. Lifeguard counts each missing one; counting one per probe keeps the
  // period short until enough probes failed to detect that this node is
  // isolated.
  if (probe.mHelpers == 0 || probe.mNegatives < probe.mHelpers) {
    IncrementHealthScore();
  }
  aSteps.mFailed = probe.mTarget;
}

void
Prober::StartProbe(core::TimePoint aNow,
                   const MemberTable& aTable,
                   Random& aRandom,
                   ProbeSteps& aSteps)
{
  const auto multiplier = core::Duration::rep{ mHealthScore } + 1;
  mPeriodEnd = aNow + mPeriod * multiplier;
  const MemberTable::Entry* target = NextTarget(aTable, aRandom);
  if (target == nullptr) {
    return;
  }
  Probe probe;
  probe.mTarget = target->mMember->mIncarnation;
  probe.mAddress = target->mMember->mAddress;
  probe.mSequence = NextSequence();
  probe.mIndirectAt = aNow + mPingTimeout * multiplier;
  aSteps.mPings.push_back({ probe.mAddress, probe.mTarget, probe.mSequence });
  mProbe = std::move(probe);
}

void
Prober::RequestIndirectProbes(const MemberTable& aTable,
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
  const auto position = aRandom.Below(mRound.size() + 1);
  mRound.insert(mRound.begin() + static_cast<std::ptrdiff_t>(position),
                aIncarnation);
}

ProbeSteps
Prober::StartIndirectProbe(core::TimePoint aNow,
                           const core::Address& aFrom,
                           const Message& aRequest)
{
  ProbeSteps steps;
  if (mRelayedProbes.size() >= kMaxRelayedProbes) {
    return steps;
  }
  const std::uint64_t sequence = NextSequence();
  const auto timeout = std::chrono::duration_cast<core::Duration>(
    mPingTimeout * kRelayTimeoutShare);
  mRelayedProbes[sequence] = {
    aFrom, aRequest.mTarget, aRequest.mSequence, aNow + timeout
  };
  steps.mPings.push_back(
    { aRequest.mTargetAddress, aRequest.mTarget, sequence });
  return steps;
}

ProbeSteps
Prober::HandleAck(const Message& aAck)
{
  ProbeSteps steps;
  if (const auto relayed = mRelayedProbes.find(aAck.mSequence);
      relayed != mRelayedProbes.end()) {
    steps.mRelays.push_back({ relayed->second.mRequester,
                              aAck.mTarget,
                              relayed->second.mSequence,
                              false });
    mRelayedProbes.erase(relayed);
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
  mHealthScore -= mHealthScore > 0 ? 1 : 0;
  if (aAck.mTarget != mProbe->mTarget) {
    steps.mReplaced = mProbe->mTarget;
  }
  return steps;
}

void
Prober::SkipProbe()
{
  mProbe.reset();
  mRelayedProbes.clear();
}

void
Prober::IncrementHealthScore()
{
  mHealthScore = std::min(mMaxHealthScore, mHealthScore + 1);
}

bool
Prober::IsIsolated() const
{
  const auto failed = std::count(mRecent.begin(), mRecent.end(), true);
  return mRecent.size() >= kMinProbes &&
         static_cast<std::size_t>(failed) * 2 > mRecent.size();
}

bool
Prober::MostlyFailedSince(std::uint64_t aCount) const
{
  const auto count = static_cast<std::ptrdiff_t>(
    std::min<std::uint64_t>(mRecent.size(), EndedProbesSince(aCount)));
  const auto failed = std::count(mRecent.end() - count, mRecent.end(), true);
  return failed - (count - failed) >= 2;
}

void
Prober::RecordResult(bool aFailed)
{
  ++mEnded;
  mRecent.push_back(aFailed);
  if (mRecent.size() > mWindow) {
    mRecent.pop_front();
  }
}

} // namespace nutmegrock::membership
