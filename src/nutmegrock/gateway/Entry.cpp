#include "gateway/Entry.h"

#include "gateway/EntryCall.h"

#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::gateway {

namespace {

/// A caller who says that it waits at least this share of the longest time has
/// not been refused before.
constexpr double kFreshShare = 0.97;
/// Routes whose longest time is remembered.
constexpr std::size_t kMaxRoutes = 1024;
/// Weight of one answer in the running share of failures.
constexpr double kOutcomeWeight = 0.03;
/// Up to this share of failures an answer with an error is tried again.
constexpr double kSeldom = 0.06;

} // namespace

Entry::Entry(EntrySettings aSettings,
             SharedComponents& aComponents,
             Serving& aServing,
             routes::ActiveRoutes& aRoutes,
             routing::Router& aRouter,
             overload::EntryAdmission& aAdmission,
             retry::RetryAllowance& aAllowance)
  : mSettings(std::move(aSettings))
  , mComponents(aComponents)
  , mServing(aServing)
  , mRoutes(aRoutes)
  , mRouter(aRouter)
  , mAdmission(aAdmission)
  , mAllowance(aAllowance)
  , mSplits(mSettings.mSelf.mBits)
  , mTraffic(mComponents.mRegistry)
  , mPlacement(mComponents.mCosts, mComponents.mLoads)
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

bool
Entry::IsReturned(const std::string& aRoute,
                  std::chrono::milliseconds aDeadline)
{
  if (mMaxDeadline.size() > kMaxRoutes) {
    mMaxDeadline.clear();
  }
  auto& longest = mMaxDeadline[aRoute];
  longest = std::max(longest, aDeadline);
  return static_cast<double>(aDeadline.count()) <
         kFreshShare * static_cast<double>(longest.count());
}

void
Entry::Tick()
{
  const core::TimePoint now = mComponents.mNow();
  std::vector<std::shared_ptr<EntryCall>> over;
  for (const auto& call : mCalls) {
    if (call->Deadline() <= now) {
      over.push_back(call);
    }
  }
  for (const auto& call : over) {
    call->Expire();
  }
}

void
Entry::CountResponse(const std::string& aRoute, unsigned aStatus)
{
  if (mResponses.size() > kMaxRoutes) {
    mResponses.clear();
  }
  metrics::Counter*& counter = mResponses[{ aRoute, aStatus }];
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
  if (mFailedShare.size() > kMaxRoutes) {
    mFailedShare.clear();
  }
  double& share = mFailedShare[aRoute];
  share += kOutcomeWeight * ((aFailed ? 1 : 0) - share);
}

bool
Entry::FailsSeldom(const std::string& aRoute) const
{
  const auto found = mFailedShare.find(aRoute);
  return found == mFailedShare.end() || found->second <= kSeldom;
}

void
Entry::Remove(EntryCall* aCall)
{
  mCalls.erase(aCall->shared_from_this());
}

} // namespace nutmegrock::gateway
