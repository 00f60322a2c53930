// The components of a running node that put routes in force.
#include "gateway/GatewayComponents.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <spdlog/fmt/fmt.h>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Timeout of a request for another node's routes. Short, since the connection
/// may have gone silent, and the next request uses a new one.
constexpr milliseconds kRoutesTimeout{ 1'000 };
/// Maximum log lines about skipped parts of one configuration.
constexpr std::size_t kMaxSkippedLines = 20;

} // namespace

void
GatewayRuntime::Components::OpenRoutes()
{
  mRoutes.OnChange([this](const routes::RouteSetPtr& aRoutes) {
    boost::asio::post(mIo, [this, aRoutes] { OnRoutes(aRoutes); });
  });
  routes::RouteSync::Hooks hooks;
  hooks.mPull = [this](const core::Address& aFrom,
                       routes::RouteSync::PullCallback aCallback) {
    mPeerClient->Control(aFrom,
                         {},
                         routes::RouteSync::kMethod,
                         {},
                         core::Clock::now() + kRoutesTimeout,
                         std::move(aCallback));
  };
  hooks.mLog = [](const std::string& aLine) { spdlog::info("{}", aLine); };
  hooks.mOnStoreRegained = [this] {
    boost::asio::post(mIo, [this] {
      mMembership->OnStoreRegained();
      mLearnedCosts->Retry();
    });
  };
  hooks.mOnStoreRolledBack = [this] {
    boost::asio::post(mIo, [this] { OnStoreRolledBack(); });
  };
  hooks.mOnConfirmed = [this] {
    boost::asio::post(mIo, [this] { mMembership->NotifyAge(); });
  };
  mRouteSync = std::make_unique<routes::RouteSync>(
    mPorts.mRoutes, mPorts.mDecodeRoutes, mRoutes, std::move(hooks));
}

void
GatewayRuntime::Components::OnRoutes(const routes::RouteSetPtr& aRoutes)
{
  mCallerListener->SetLimits(aRoutes->Limits());
  mEntry->OnRoutesChanged();
  mTenantAllowances->OnRoutes(*aRoutes);
  mLoads.SetOpenRank(PriorityOrderOf(*aRoutes).OpenRank());
  ReportSkipped(aRoutes->Source());
  mMembership->NotifyVersion(aRoutes->Version());
}

void
GatewayRuntime::Components::ReportSkipped(const routes::RouteSetSource& aSource)
{
  std::vector<std::string> reasons = aSource.mSkippedTenants;
  for (const routes::SkippedRoute& route : aSource.mSkippedRoutes) {
    reasons.push_back(route.mReason);
  }
  const auto count = [this](const char* aWhat, std::size_t aNumber) {
    mRegistry
      .CounterOf("nutmegrock_config_skipped_total", { { "part", aWhat } })
      .Add(aNumber);
  };
  count("route", aSource.mSkippedRoutes.size());
  count("tenant", aSource.mSkippedTenants.size());
  for (std::size_t i = 0; i < std::min(reasons.size(), kMaxSkippedLines); ++i) {
    mLog.LogState(
      fmt::format("event=config_part_skipped version={} of={} reason=\"{}\"",
                  aSource.mVersion,
                  reasons.size(),
                  reasons[i]));
  }
}

std::string
GatewayRuntime::Components::ServiceOf(const std::string& aRoute) const
{
  const routes::RouteSetPtr routes = mRoutes.Current();
  const routes::Route* route = routes ? routes->FindByName(aRoute) : nullptr;
  if (route == nullptr) {
    return {};
  }
  return std::max_element(route->mTargets.begin(),
                          route->mTargets.end(),
                          [](const routes::RouteTarget& aLeft,
                             const routes::RouteTarget& aRight) {
                            return aLeft.mWeight < aRight.mWeight;
                          })
    ->mService;
}

} // namespace nutmegrock::gateway
