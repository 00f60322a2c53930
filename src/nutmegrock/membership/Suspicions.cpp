#include "membership/Suspicions.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::membership {

namespace {

/// Periods between notifications of a suspect that this node accuses. Other
/// members notify it through gossip.
constexpr int kReminderPeriods = 2;

/// Probes by this node that must have ended since a suspicion began before the
/// member is declared dead; fewer do not show whether this node is isolated.
constexpr std::uint64_t kMinProbes = 3;

} // namespace

Suspicions::Suspicions(const MembershipSettings& aSettings,
                       core::Incarnation aOwn)
  : mOwn(aOwn)
  , mPeriod(aSettings.mPeriod)
  , mFactor(aSettings.mSuspicionFactor)
  , mMaxMultiple(aSettings.mMaxSuspicionMultiple)
  , mConfirmations(aSettings.mConfirmations)
{
}

bool
Suspicions::Accuse(core::Incarnation aSuspect,
                   core::Incarnation aAccuser,
                   std::uint64_t aRefutation,
                   std::uint64_t aProbes)
{
  Suspect& suspect = mSuspects[aSuspect.mBits];
  if (suspect.mAccusers.empty() || aRefutation > suspect.mRefutation) {
    suspect = Suspect{};
    suspect.mRefutation = aRefutation;
    suspect.mProbes = aProbes;
  }
  suspect.mAccusedHere = suspect.mAccusedHere || aAccuser == mOwn;
  auto& accusers = suspect.mAccusers;
  if (accusers.size() > mConfirmations ||
      std::find(accusers.begin(), accusers.end(), aAccuser) != accusers.end()) {
    return false;
  }
  accusers.push_back(aAccuser);
  return true;
}

void
Suspicions::Clear(core::Incarnation aSuspect)
{
  mSuspects.erase(aSuspect.mBits);
}

void
Suspicions::Restart()
{
  for (auto& item : mSuspects) {
    item.second.mElapsed = core::Duration{ 0 };
  }
}

core::Duration
Suspicions::TimeoutFor(std::size_t aMembers, std::size_t aConfirmations) const
{
  const double decades =
    std::log10(static_cast<double>(std::max<std::size_t>(aMembers, 10)));
  const double minimum = mFactor * decades;
  // All members but the suspect and the first accuser can confirm. If there are
  // none, the timeout is the maximum.
  const std::size_t others = aMembers > 3 ? aMembers - 2 : 1;
  const std::size_t needed = std::min(mConfirmations, others);
  double periods = minimum;
  if (aConfirmations < needed) {
    const double progress = std::log(static_cast<double>(aConfirmations) + 1) /
                            std::log(static_cast<double>(needed) + 1);
    periods = minimum * (mMaxMultiple - (mMaxMultiple - 1) * progress);
  }
  return std::chrono::duration_cast<core::Duration>(mPeriod * periods);
}

SuspicionSteps
Suspicions::Advance(core::Duration aElapsed,
                    std::size_t aMembers,
                    const Prober& aProber)
{
  SuspicionSteps steps;
  // Timers slow down as the periods do: a node with bad links needs longer to
  // send an accusation and receive its refutation.
  const core::Duration counted =
    aElapsed / (core::Duration::rep{ aProber.HealthScore() } + 1);
  for (auto next = mSuspects.begin(); next != mSuspects.end();) {
    Suspect& suspect = next->second;
    suspect.mElapsed += counted;
    suspect.mSinceReminder += aElapsed;
    if (suspect.mAccusedHere &&
        suspect.mSinceReminder >= mPeriod * kReminderPeriods) {
      suspect.mSinceReminder = core::Duration{ 0 };
      steps.mReminded.push_back({ next->first });
    }
    const bool due =
      suspect.mElapsed >= TimeoutFor(aMembers, suspect.mAccusers.size() - 1);
    if (!due || aProber.EndedProbesSince(suspect.mProbes) < kMinProbes) {
      ++next;
    } else if (aProber.MostlyFailedSince(suspect.mProbes)) {
      suspect.mElapsed = core::Duration{ 0 };
      suspect.mProbes = aProber.EndedProbes();
      ++next;
    } else {
      steps.mExpired.push_back({ next->first });
      next = mSuspects.erase(next);
    }
  }
  return steps;
}

} // namespace nutmegrock::membership
