#include "overload/PriorityOrder.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::overload {

namespace {

using Priorities = std::vector<std::uint32_t>;

Priorities
Sorted(Priorities aValues)
{
  std::sort(aValues.begin(), aValues.end());
  aValues.erase(std::unique(aValues.begin(), aValues.end()), aValues.end());
  return aValues;
}

/// Position of a priority; that of the next one if it is not in the list.
double
PositionIn(const Priorities& aValues, std::uint32_t aValue)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto found = std::lower_bound(aValues.begin(), aValues.end(), aValue);
  return static_cast<double>(std::min(
    found - aValues.begin(), static_cast<std::ptrdiff_t>(aValues.size()) - 1));
}

/// Width of the range of each pair of priorities.
double
WidthOf(const Priorities& aTenants, const Priorities& aRoutes)
{
  const auto pairs = static_cast<double>(
    aTenants.size() * std::max<std::size_t>(1, aRoutes.size()));
  return std::min(1.0, kOpenRank / pairs);
}

} // namespace

PriorityOrder::PriorityOrder(Priorities aTenants, Priorities aRoutes)
  : mTenants(Sorted(std::move(aTenants)))
  , mRoutes(Sorted(std::move(aRoutes)))
{
}

double
PriorityOrder::Rank(std::uint32_t aTenant,
                    std::uint32_t aRoute,
                    double aPart) const
{
  if (mTenants.size() <= 1) {
    return static_cast<double>(std::min<std::size_t>(aRoute, kPriorities - 1)) +
           aPart;
  }
  const auto routes =
    static_cast<double>(std::max<std::size_t>(1, mRoutes.size()));
  return (PositionIn(mTenants, aTenant) * routes + PositionIn(mRoutes, aRoute) +
          aPart) *
         WidthOf(mTenants, mRoutes);
}

double
PriorityOrder::OpenRank() const
{
  if (mTenants.size() > 1) {
    const auto pairs = static_cast<double>(
      mTenants.size() * std::max<std::size_t>(1, mRoutes.size()));
    return std::min(kOpenRank, pairs);
  }
  const std::uint32_t last = mRoutes.empty() ? 0 : mRoutes.back();
  return std::min(kOpenRank, static_cast<double>(last) + 1);
}

} // namespace nutmegrock::overload
