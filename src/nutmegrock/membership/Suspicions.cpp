#include "membership/Suspicions.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::membership {

Suspicions::Suspicions(const MembershipSettings& aSettings)
  : mPeriod(aSettings.mPeriod)
  , mFactor(aSettings.mSuspicionFactor)
  , mSpread(aSettings.mSuspicionSpread)
  , mConfirmations(aSettings.mConfirmations)
{
}

bool
Suspicions::Accuse(core::Incarnation aSuspect,
                   core::Incarnation aAccuser,
                   std::uint64_t aRefutation)
{
  Suspect& suspect = mSuspects[aSuspect.mBits];
  if (aRefutation > suspect.mRefutation) {
    suspect = Suspect{};
    suspect.mRefutation = aRefutation;
  }
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
  const std::size_t others = aMembers > 2 ? aMembers - 2 : 0;
  const std::size_t wanted = std::min(mConfirmations, others);
  double periods = shortest;
  if (aConfirmations < wanted) {
    const double done = std::log(static_cast<double>(aConfirmations) + 1) /
                        std::log(static_cast<double>(wanted) + 1);
    periods = shortest * (mSpread - (mSpread - 1) * done);
  }
  return std::chrono::duration_cast<core::Duration>(mPeriod * periods);
}

std::vector<core::Incarnation>
Suspicions::Advance(core::Duration aElapsed, std::size_t aMembers)
{
  std::vector<core::Incarnation> expired;
  for (auto next = mSuspects.begin(); next != mSuspects.end();) {
    Suspect& suspect = next->second;
    suspect.mElapsed += aElapsed;
    const std::size_t confirmations =
      suspect.mAccusers.empty() ? 0 : suspect.mAccusers.size() - 1;
    if (suspect.mElapsed >= TimeoutFor(aMembers, confirmations)) {
      expired.push_back({ next->first });
      next = mSuspects.erase(next);
    } else {
      ++next;
    }
  }
  return expired;
}

} // namespace nutmegrock::membership
