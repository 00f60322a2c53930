#include "overload/SavedCosts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegrock::overload {

namespace {

/// Minimum time between two writes of the costs of one service. Store calls are
/// billed, and an estimate converges over some seconds.
constexpr std::chrono::seconds kSaveInterval{ 3 };
/// Smaller relative changes of a cost do not affect admission.
constexpr double kMinChange = 0.3;
/// In slot seconds; smaller changes of a cost are noise.
constexpr double kMinCost = 0.005;

/// Returns true if the cost is complete enough to be saved.
bool
IsKnown(const RouteCost& aCost)
{
  return aCost.mComplete && aCost.mInternal.has_value();
}

bool
DiffersInValue(double aOld, double aNew)
{
  return std::abs(aNew - aOld) >
         std::max(kMinCost, kMinChange * std::max(aOld, aNew));
}

} // namespace

bool
SavedCosts::Differs(const RouteCost& aOld, const RouteCost& aNew)
{
  if (aOld.mInternal != aNew.mInternal) {
    return true;
  }
  const auto any = [](const RouteCost& aOne, const RouteCost& aOther) {
    return std::any_of(aOne.mServices.begin(),
                       aOne.mServices.end(),
                       [&aOther](const ServiceCost& aCost) {
                         return DiffersInValue(
                           aOther.SlotSecondsAt(aCost.mService),
                           aCost.mSlotSeconds);
                       });
  };
  return any(aOld, aNew) || any(aNew, aOld);
}

void
SavedCosts::OnSaved(core::TimePoint aNow,
                    Costs aCosts,
                    DownstreamServices aDownstream)
{
  mSaved = std::move(aCosts);
  mSavedDownstream = std::move(aDownstream);
  mSavedAt = aNow;
}

void
SavedCosts::OnLost()
{
  mSaved.clear();
  mSavedDownstream.clear();
}

SavedCosts::Costs
SavedCosts::CompleteCosts(const Costs& aCosts)
{
  Costs known;
  for (const auto& [route, cost] : aCosts) {
    if (IsKnown(cost)) {
      known.emplace(route, cost);
    }
  }
  return known;
}

bool
SavedCosts::IsDue(core::TimePoint aNow,
                  const Costs& aCosts,
                  const DownstreamServices& aDownstream) const
{
  if (mSavedAt != core::TimePoint{} && aNow - mSavedAt < kSaveInterval) {
    return false;
  }
  for (const auto& [route, service] : aDownstream) {
    const auto saved = mSavedDownstream.find(route);
    if (saved == mSavedDownstream.end() || saved->second != service) {
      return true;
    }
  }
  return std::any_of(aCosts.begin(), aCosts.end(), [this](const auto& aEntry) {
    const auto& [route, cost] = aEntry;
    if (!IsKnown(cost)) {
      return false;
    }
    const auto saved = mSaved.find(route);
    return saved == mSaved.end() || Differs(saved->second, cost);
  });
}

} // namespace nutmegrock::overload
