#include "routes/SplitPicker.h"

namespace nutmegrock::routes {

SplitPicker::SplitPicker(std::uint64_t aOffset)
  : mOffset(aOffset)
{
}

std::size_t
SplitPicker::PickNext(State& aState)
{
  std::int64_t total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < aState.mTargets.size(); ++i) {
    total += aState.mTargets[i].mWeight;
    aState.mCurrentWeights[i] += aState.mTargets[i].mWeight;
    if (aState.mCurrentWeights[i] > aState.mCurrentWeights[best]) {
      best = i;
    }
  }
  aState.mCurrentWeights[best] -= total;
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
    state.mCurrentWeights.assign(aRoute.mTargets.size(), 0);
    std::uint64_t total = 0;
    for (const RouteTarget& target : aRoute.mTargets) {
      total += target.mWeight;
    }
    for (std::uint64_t i = 0; i < mOffset % total; ++i) {
      PickNext(state);
    }
  }
  return aRoute.mTargets[PickNext(state)].mService;
}

} // namespace nutmegrock::routes
