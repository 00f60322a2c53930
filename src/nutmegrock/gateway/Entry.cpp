#include "gateway/Entry.h"

#include "gateway/EntryCall.h"

#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::gateway {

namespace {

/// Maximum number of routes for which statistics are kept.
constexpr std::size_t kMaxRoutes = 1024;
/// Weight of one response in the moving average of failures.
constexpr double kOutcomeWeight = 0.03;
/// Up to this failure rate, error responses are retried.
constexpr double kMaxRareFailureRate = 0.06;

// Not 0. Nodes that share a number share a window.
std::uint32_t
CallingNodeOf(core::Incarnation aNode)
{
  constexpr std::uint64_t kNumbers = 0xffff'ffff;
  return static_cast<std::uint32_t>(aNode.mBits % kNumbers) + 1;
}

} // namespace

overload::PriorityOrder
PriorityOrderOf(const routes::RouteSet& aRoutes)
{
  std::vector<std::uint32_t> tenants;
  for (const routes::Tenant& tenant : aRoutes.Tenants()) {
    tenants.push_back(tenant.mPriority.value_or(0));
  }
  std::vector<std::uint32_t> routes;
  for (const routes::Route& route : aRoutes.Routes()) {
    routes.push_back(route.mPriority);
  }
  return { std::move(tenants), std::move(routes) };
}

Entry::Entry(EntrySettings aSettings,
             SharedComponents& aComponents,
             Serving& aServing,
             routes::ActiveRoutes& aRoutes,
             routing::Router& aRouter,
             overload::EntryAdmission& aAdmission,
             retry::RetryAllowance& aAllowance)
  : mSettings(std::move(aSettings))
  , mCallingNode(CallingNodeOf(mSettings.mSelf))
  , mComponents(aComponents)
  , mServing(aServing)
  , mRoutes(aRoutes)
  , mRouter(aRouter)
  , mAdmission(aAdmission)
  , mAllowance(aAllowance)
  , mSplitPicker(mSettings.mSelf.mBits)
  , mZoneTraffic(mComponents.mRegistry)
  , mPlacement(mComponents.mCosts, mComponents.mLoads)
  , mZoneFlowLog(mComponents.mRegistry, [this](std::string_view aLine) {
    mComponents.mLog.LogState(aLine);
  })
{
}

Entry::~Entry() = default;

std::shared_ptr<proxy::RequestSink>
Entry::Handle(const proxy::ServerExchangePtr& aExchange)
{
  auto call = std::make_shared<EntryCall>(*this, aExchange);
  mCalls.insert(call);
  call->Start();
  return call;
}

void
Entry::Tick()
{
  const core::TimePoint now = mComponents.mNow();
  std::vector<std::shared_ptr<EntryCall>> expired;
  for (const auto& call : mCalls) {
    if (call->Deadline() <= now) {
      expired.push_back(call);
    }
  }
  for (const auto& call : expired) {
    call->Expire();
  }
  mZoneFlowLog.Tick(now, mPlacement);
}

void
Entry::EndAll()
{
  const std::vector<std::shared_ptr<EntryCall>> calls(mCalls.begin(),
                                                      mCalls.end());
  for (const auto& call : calls) {
    call->EndForStop();
  }
}

const overload::PriorityOrder&
Entry::OrderOf(const routes::RouteSet& aRoutes)
{
  if (mOrderVersion != aRoutes.Version()) {
    mOrderVersion = aRoutes.Version();
    mOrder = PriorityOrderOf(aRoutes);
  }
  return mOrder;
}

void
Entry::CountResponse(const std::string& aRoute, unsigned aStatus)
{
  if (mResponseCounters.size() > kMaxRoutes) {
    mResponseCounters.clear();
  }
  metrics::Counter*& counter = mResponseCounters[{ aRoute, aStatus }];
  if (counter == nullptr) {
    counter = &mComponents.mRegistry.CounterOf(
      "nutmegrock_answered_total",
      { { "route", aRoute }, { "status", fmt::to_string(aStatus) } });
  }
  counter->Add();
}

void
Entry::OnOutcome(const std::string& aRoute, bool aFailed)
{
  if (mFailureRate.size() > kMaxRoutes) {
    mFailureRate.clear();
  }
  double& rate = mFailureRate[aRoute];
  rate += kOutcomeWeight * ((aFailed ? 1 : 0) - rate);
}

bool
Entry::IsFailureRare(const std::string& aRoute) const
{
  const auto found = mFailureRate.find(aRoute);
  return found == mFailureRate.end() || found->second <= kMaxRareFailureRate;
}

void
Entry::Remove(EntryCall* aCall)
{
  mCalls.erase(aCall->shared_from_this());
}

} // namespace nutmegrock::gateway
