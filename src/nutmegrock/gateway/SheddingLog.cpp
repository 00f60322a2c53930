#include "gateway/SheddingLog.h"

#include "gateway/CostText.h"
#include "overload/SavedCosts.h"

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

/// Minimum time between two lines about the same service or route.
constexpr std::chrono::seconds kMinInterval{ 1 };

} // namespace

SheddingLog::SheddingLog(Writer aWriter)
  : mWriter(std::move(aWriter))
{
}

void
SheddingLog::Tick(core::TimePoint aNow,
                  const Cutoffs& aCutoffs,
                  const overload::RouteCosts& aCosts)
{
  LogCutoffs(aNow, aCutoffs);
  if (aNow - mCostsCheckedAt >= kMinInterval) {
    mCostsCheckedAt = aNow;
    LogCosts(aNow, aCosts);
  }
}

void
SheddingLog::LogCutoffs(core::TimePoint aNow, const Cutoffs& aCutoffs)
{
  for (const auto& [service, cutoff] : aCutoffs) {
    const auto [logged, begins] = mShedding.try_emplace(service, aNow);
    if (!begins && aNow - logged->second < kMinInterval) {
      continue;
    }
    logged->second = aNow;
    mWriter(
      fmt::format("event=shedding service={} cutoff={:.2f}", service, cutoff));
  }
  for (auto it = mShedding.begin(); it != mShedding.end();) {
    if (aNow - it->second < kMinInterval || aCutoffs.contains(it->first)) {
      ++it;
      continue;
    }
    mWriter(fmt::format("event=shedding_over service={}", it->first));
    it = mShedding.erase(it);
  }
}

void
SheddingLog::LogCosts(core::TimePoint aNow, const overload::RouteCosts& aCosts)
{
  for (const auto& [route, cost] : aCosts.All()) {
    const auto logged = mCosts.find(route);
    if (logged != mCosts.end() &&
        (aNow - logged->second.mAt < kMinInterval ||
         (logged->second.mCost.mComplete == cost.mComplete &&
          !overload::SavedCosts::Differs(logged->second.mCost, cost)))) {
      continue;
    }
    mCosts.insert_or_assign(route, LoggedCost{ aNow, cost });
    mWriter(fmt::format(
      "event=route_cost route={} cost={}", route, EncodeCost(cost)));
  }
}

} // namespace nutmegrock::gateway
