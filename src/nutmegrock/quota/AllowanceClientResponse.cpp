// The responses of owners, and the decisions without them.
#include "quota/AllowanceClient.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegrock::quota {

namespace {

using std::chrono::milliseconds;

/// Pause after the response that a node does not own a tenant yet.
constexpr milliseconds kNotOwnedPause{ 100 };
/// Tokens that fallback buckets save: the first part in seconds of the rate, as
/// far as the excess of the limit allows, and of the second part, in requests
/// over all nodes, what the fixed slack of the limit allows.
constexpr double kFallbackSaveSeconds = 0.8;
constexpr double kFallbackSaveRequests = 15;
/// Bounds of the time to retry that a refusal of a fallback bucket names.
constexpr milliseconds kMinFallbackRetry{ 200 };
constexpr milliseconds kMaxFallbackRetry{ 1'000 };

} // namespace

void
AllowanceClient::OnResponse(core::TimePoint aNow,
                            std::uint64_t aAsk,
                            const TakeResponse& aResponse)
{
  const auto found = mAsked.find(aAsk);
  if (found == mAsked.end()) {
    return;
  }
  if (!aResponse.mLeaving &&
      aResponse.mGrants.size() != found->second.mItems.size()) {
    OnFailure(aNow, aAsk);
    return;
  }
  Asked asked = std::move(found->second);
  mAsked.erase(found);
  const auto state = mOwnerStates.find(asked.mOwner);
  if (state != mOwnerStates.end()) {
    state->second.mContactAt = aNow;
    if (std::exchange(state->second.mFailed, false)) {
      for (auto& [name, tenant] : mTenants) {
        if (mOwners.OwnerOf(name) == asked.mOwner) {
          tenant.mFallback.reset();
        }
      }
    }
  }
  Decisions decisions;
  if (aResponse.mLeaving) {
    mOwners.AddLeaving(asked.mOwner);
    mOwnerStates.erase(asked.mOwner);
  }
  for (std::size_t i = 0; i < asked.mItems.size(); ++i) {
    if (aResponse.mLeaving) {
      Reassign(aNow, asked.mItems[i], decisions);
    } else {
      ApplyGrant(
        aNow, asked.mAt, asked.mItems[i], aResponse.mGrants[i], decisions);
    }
  }
  for (const auto& [callback, decision] : decisions) {
    callback(decision);
  }
}

void
AllowanceClient::ApplyGrant(core::TimePoint aNow,
                            core::TimePoint aAskedAt,
                            AskedItem& aItem,
                            const TakeGrant& aGrant,
                            Decisions& aDecisions)
{
  if (!aGrant.mOwned) {
    if (Tenant* tenant = Find(aItem.mTenant)) {
      tenant->mNotOwnedUntil = aNow + kNotOwnedPause;
      StartFallback(aNow, *tenant, aNow);
    }
    DecideAllByFallback(aNow, aItem, aDecisions);
    return;
  }
  const core::TimePoint expires = aAskedAt + kGrantLifetime;
  std::uint32_t tokens = aGrant.mGranted;
  for (Waiting& waiting : aItem.mWaiting) {
    AllowanceDecision decision{
      tokens > 0, AllowanceSource::Owner, aGrant.mRetryAfter, expires
    };
    tokens -= tokens > 0 ? 1 : 0;
    aDecisions.emplace_back(std::move(waiting.mCallback), decision);
  }
  Tenant* tenant = Find(aItem.mTenant);
  if (tenant == nullptr) {
    return;
  }
  tenant->mExpectedInFlight -=
    std::min(tenant->mExpectedInFlight, aItem.mExpected);
  tenant->mNotOwnedUntil = {};
  tenant->mFallback.reset();
  constexpr double kMillion = 1e6;
  tenant->mShare = aGrant.mSharePpm / kMillion;
  if (tokens > 0) {
    tenant->mGrants.push_back({ tokens, expires });
  }
  if (aGrant.mRetryAfter.count() > 0) {
    tenant->mRefusedUntil = aNow + aGrant.mRetryAfter;
  }
}

void
AllowanceClient::DecideAllByFallback(core::TimePoint aNow,
                                     AskedItem& aItem,
                                     Decisions& aDecisions)
{
  Tenant* tenant = Find(aItem.mTenant);
  if (tenant != nullptr) {
    tenant->mExpectedInFlight -=
      std::min(tenant->mExpectedInFlight, aItem.mExpected);
  }
  for (Waiting& waiting : aItem.mWaiting) {
    aDecisions.emplace_back(
      std::move(waiting.mCallback),
      tenant == nullptr
        ? AllowanceDecision{ true, AllowanceSource::Unlimited, {}, aNow }
        : DecideByFallback(aNow, *tenant));
  }
}

void
AllowanceClient::Reassign(core::TimePoint aNow,
                          AskedItem& aItem,
                          Decisions& aDecisions)
{
  Tenant* tenant = Find(aItem.mTenant);
  const core::Incarnation owner = mOwners.OwnerOf(aItem.mTenant);
  if (tenant == nullptr || !owner.IsKnown()) {
    DecideAllByFallback(aNow, aItem, aDecisions);
    return;
  }
  tenant->mExpectedInFlight -=
    std::min(tenant->mExpectedInFlight, aItem.mExpected);
  std::move(aItem.mWaiting.begin(),
            aItem.mWaiting.end(),
            std::back_inserter(tenant->mWaiting));
  mOwnerStates[owner].mDemandAt = aNow;
  AddDue(owner, aItem.mTenant);
}

void
AllowanceClient::OnFailure(core::TimePoint aNow, std::uint64_t aAsk)
{
  const auto found = mAsked.find(aAsk);
  if (found == mAsked.end()) {
    return;
  }
  Asked asked = std::move(found->second);
  mAsked.erase(found);
  const auto state = mOwnerStates.find(asked.mOwner);
  if (state != mOwnerStates.end()) {
    state->second.mFailed = true;
  }
  StartFallbacks(aNow, asked.mOwner);
  Decisions decisions;
  for (AskedItem& item : asked.mItems) {
    DecideAllByFallback(aNow, item, decisions);
  }
  for (const auto& [callback, decision] : decisions) {
    callback(decision);
  }
}

void
AllowanceClient::StartFallbacks(core::TimePoint aNow, core::Incarnation aOwner)
{
  const auto state = mOwnerStates.find(aOwner);
  const core::TimePoint contact =
    state == mOwnerStates.end() ? aNow : state->second.mContactAt;
  for (auto& [name, tenant] : mTenants) {
    if (mOwners.OwnerOf(name) == aOwner) {
      StartFallback(aNow, tenant, contact);
    }
  }
}

// The owner withholds the rate of the bucket from the same time on, so the
// bucket is empty until then.
void
AllowanceClient::StartFallback(core::TimePoint aNow,
                               Tenant& aTenant,
                               core::TimePoint aContactAt) const
{
  if (!aTenant.mFallback) {
    const core::TimePoint start =
      std::max(aNow, aContactAt + SilenceTime(mOwners.Largest(aNow)));
    aTenant.mFallback.emplace(start, 0.0, 0.0);
    SetFallbackLimits(aNow, aTenant);
  }
}

void
AllowanceClient::SetFallbackLimits(core::TimePoint aNow, Tenant& aTenant) const
{
  const double limit = aTenant.mLimit.mRatePerSecond;
  const double rate =
    mJoined && limit > 0
      ? limit * FallbackShare(aTenant.mShare, mOwners.Largest(aNow))
      : 0;
  const double seconds =
    limit > 0 ? kFallbackSaveSeconds + kFallbackSaveRequests / limit : 0;
  aTenant.mFallback->SetLimits(aNow, rate, rate * seconds);
}

AllowanceDecision
AllowanceClient::DecideByFallback(core::TimePoint aNow, Tenant& aTenant)
{
  StartFallback(aNow, aTenant, aNow);
  if (aTenant.mFallback->TakeFraction(aNow, mRandom.Unit())) {
    return { true, AllowanceSource::Fallback, {}, aNow };
  }
  const auto retry =
    std::chrono::ceil<milliseconds>(aTenant.mFallback->TimeUntil(aNow, 1));
  return { false,
           AllowanceSource::Fallback,
           std::clamp(retry, kMinFallbackRetry, kMaxFallbackRetry),
           aNow };
}

} // namespace nutmegrock::quota
