#include "overload/SavedCosts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegrock::overload {

namespace {

/// Time between two writes of one service's costs. Store calls are paid for,
/// and an estimate settles over some seconds.
constexpr std::chrono::seconds kEvery{ 3 };
/// A change of a cost by less than this part makes no difference to what is
/// admitted.
constexpr double kLeastChange = 0.3;
/// Costs below this many slot seconds are noise.
constexpr double kLeastCost = 0.005;

bool
Differs(double aOld, double aNew)
{
  return std::abs(aNew - aOld) >
         std::max(kLeastCost, kLeastChange * std::max(aOld, aNew));
}

bool
Differs(const RouteCost& aOld, const RouteCost& aNew)
{
  if (aOld.mInternal != aNew.mInternal) {
    return true;
  }
  const auto any = [](const RouteCost& aOne, const RouteCost& aOther) {
    return std::any_of(aOne.mServices.begin(),
                       aOne.mServices.end(),
                       [&aOther](const ServiceCost& aCost) {
                         return Differs(aOther.At(aCost.mService),
                                        aCost.mSlotSeconds);
                       });
  };
  return any(aOld, aNew) || any(aNew, aOld);
}

} // namespace

void
SavedCosts::OnSaved(core::TimePoint aNow, Costs aCosts)
{
  mSaved = std::move(aCosts);
  mSavedAt = aNow;
}

SavedCosts::Costs
SavedCosts::Known(const Costs& aCosts)
{
  Costs known;
  for (const auto& [route, cost] : aCosts) {
    if (cost.mComplete && cost.mInternal) {
      known.emplace(route, cost);
    }
  }
  return known;
}

bool
SavedCosts::IsDue(core::TimePoint aNow, const Costs& aCosts) const
{
  if (mSavedAt != core::TimePoint{} && aNow - mSavedAt < kEvery) {
    return false;
  }
  const Costs known = Known(aCosts);
  return std::any_of(known.begin(), known.end(), [this](const auto& aEntry) {
    const auto saved = mSaved.find(aEntry.first);
    return saved == mSaved.end() || Differs(saved->second, aEntry.second);
  });
}

} // namespace nutmegrock::overload
