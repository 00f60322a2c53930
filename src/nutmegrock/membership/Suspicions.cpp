#include "membership/Suspicions.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::membership {

namespace {

/// Periods between two pings that tell a suspect of an own accusation. Other
/// members reach it through gossip.
constexpr int kReminderPeriods = 2;

/// Own probes that must have ended since a suspicion began before a member is
/// declared dead; fewer do not tell whether this node is isolated.
constexpr std::uint64_t kFewestProbes = 3;

} // namespace

Suspicions::Suspicions(const MembershipSettings& aSettings,
                       core::Incarnation aOwn)
  : mOwn(aOwn)
  , mPeriod(aSettings.mPeriod)
  , mFactor(aSettings.mSuspicionFactor)
  , mSpread(aSettings.mSuspicionSpread)
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
  const double shortest = mFactor * decades;
  // Besides the suspect and the first accuser, the others can confirm.
  // Where nobody can, the time is the longest.
  const std::size_t others = aMembers > 3 ? aMembers - 2 : 1;
  const std::size_t wanted = std::min(mConfirmations, others);
  double periods = shortest;
  if (aConfirmations < wanted) {
    const double done = std::log(static_cast<double>(aConfirmations) + 1) /
                        std::log(static_cast<double>(wanted) + 1);
    periods = shortest * (mSpread - (mSpread - 1) * done);
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
  // get an accusation out and its refutation back.
  const core::Duration counted =
    aElapsed / (core::Duration::rep{ aProber.Health() } + 1);
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
    if (!due || aProber.EndedSince(suspect.mProbes) < kFewestProbes) {
      ++next;
    } else if (aProber.MostlyFailedSince(suspect.mProbes)) {
      suspect.mElapsed = core::Duration{ 0 };
      suspect.mProbes = aProber.Ended();
      ++next;
    } else {
      steps.mExpired.push_back({ next->first });
      next = mSuspects.erase(next);
    }
  }
  return steps;
}

} // namespace nutmegrock::membership
