#include "routes/SplitPicker.h"

namespace nutmegrock::routes {

SplitPicker::SplitPicker(std::uint64_t aOffset)
  : mOffset(aOffset)
{
}

std::size_t
SplitPicker::Deal(State& aState)
{
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aState.mTargets.size(); ++i) {
    total += aState.mTargets[i].mWeight;
    aState.mCredits[i] += aState.mTargets[i].mWeight;
    if (aState.mCredits[i] > aState.mCredits[best]) {
      best = i;
    }
  }
  aState.mCredits[best] -= total;
  return best;
}

const std::string&
SplitPicker::Pick(const Route& aRoute)
{
  if (aRoute.mTargets.size() == 1) {
    return aRoute.mTargets.front().mService;
  }
  State& state = mStates[aRoute.mName];
  if (state.mTargets != aRoute.mTargets) {
    state.mTargets = aRoute.mTargets;
    state.mCredits.assign(aRoute.mTargets.size(), 0);
    std::uint64_t total = 0;
    for (const RouteTarget& target : aRoute.mTargets) {
      total += target.mWeight;
    }
    for (std::uint64_t i = 0; i < mOffset % total; ++i) {
      Deal(state);
    }
  }
  return aRoute.mTargets[Deal(state)].mService;
}

} // namespace nutmegrock::routes
