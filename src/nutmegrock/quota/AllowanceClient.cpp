#include "quota/AllowanceClient.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace nutmegrock::quota {

namespace {

using std::chrono::milliseconds;

/// Time constant of the demand of a tenant.
constexpr std::chrono::seconds kDemandDecay{ 1 };
/// Expected requests within kPrefetchTime from which tokens are asked for in
/// advance. With fewer, most of these tokens lapse unused.
constexpr double kSteadyDemand = 1.5;
/// Part of the expected requests below which the tokens are replenished, so
/// that the response arrives before they are spent.
constexpr double kReplenishBelow = 0.4;
/// Pause after the response that a node does not own a tenant yet.
constexpr milliseconds kNotOwnedPause{ 100 };
/// Pause between requests to an owner that does not respond.
constexpr milliseconds kProbeInterval{ 250 };
/// Time without demand after which an owner is not contacted any more.
constexpr std::chrono::seconds kIdleTime{ 60 };
/// Tokens that fallback buckets save: the first part in seconds of the rate, as
/// far as the excess of the limit allows, and of the second part, in requests
/// over all nodes, what the fixed slack of the limit allows.
constexpr double kFallbackSaveSeconds = 0.8;
constexpr double kFallbackSaveRequests = 15;
/// Bounds of the time to retry that a refusal of a fallback bucket names.
constexpr milliseconds kMinFallbackRetry{ 200 };
constexpr milliseconds kMaxFallbackRetry{ 1'000 };

} // namespace

std::string_view
NameOf(AllowanceSource aSource)
{
  switch (aSource) {
    case AllowanceSource::Unlimited:
      return "unlimited";
    case AllowanceSource::Owner:
      return "owner";
    case AllowanceSource::Refusal:
      return "refusal";
    case AllowanceSource::Fallback:
      break;
  }
  return "fallback";
}

AllowanceClient::AllowanceClient(core::Incarnation aSelf, std::uint64_t aSeed)
  : mSelf(aSelf)
  , mRandom(aSeed)
{
}

AllowanceClient::Tenant*
AllowanceClient::Find(std::string_view aTenant)
{
  const auto found = mTenants.find(aTenant);
  return found == mTenants.end() ? nullptr : &found->second;
}

void
AllowanceClient::SetLimits(core::TimePoint aNow,
                           const std::vector<TenantLimit>& aLimits)
{
  // A tenant without a limit keeps its state for requests that wait.
  for (auto& [name, tenant] : mTenants) {
    tenant.mLimit.mRatePerSecond = 0;
  }
  for (const TenantLimit& limit : aLimits) {
    Tenant& tenant = mTenants[limit.mTenant];
    tenant.mLimit = limit;
    if (tenant.mFallback) {
      SetFallbackLimits(aNow, tenant);
    }
  }
  std::erase_if(mTenants, [](const auto& aEntry) {
    return aEntry.second.mLimit.mRatePerSecond <= 0 &&
           aEntry.second.mWaiting.empty();
  });
}

void
AllowanceClient::OnView(core::TimePoint aNow, OwnerView aView, bool aJoined)
{
  mJoined = mJoined || aJoined;
  const std::vector<core::Incarnation> former = mOwners.Owners();
  mOwners.SetView(aNow, std::move(aView));
  std::erase_if(mOwnerStates, [this](const auto& aEntry) {
    return !mOwners.IsCandidate(aEntry.first);
  });
  ContactNewOwners(aNow, former);
}

// An owner withholds a part of the rate for nodes that may not know it yet.
void
AllowanceClient::ContactNewOwners(core::TimePoint aNow,
                                  const std::vector<core::Incarnation>& aFormer)
{
  for (const core::Incarnation owner : mOwners.Owners()) {
    if (owner != mSelf &&
        std::find(aFormer.begin(), aFormer.end(), owner) == aFormer.end()) {
      Owner& state = mOwnerStates[owner];
      state.mDemandAt = aNow;
      state.mContactAt = aNow;
      state.mIsIdle = !HasDemandFor(aNow, owner);
      AddDue(owner, {});
    }
  }
}

bool
AllowanceClient::HasDemandFor(core::TimePoint aNow,
                              core::Incarnation aOwner) const
{
  return std::any_of(mTenants.begin(), mTenants.end(), [&](const auto& aEntry) {
    return aNow - aEntry.second.mRecentAt < kIdleTime &&
           mOwners.OwnerOf(aEntry.first) == aOwner;
  });
}

void
AllowanceClient::CountRequest(core::TimePoint aNow, Tenant& aTenant)
{
  aTenant.mRecent =
    1 + aTenant.mRecent *
          std::exp(-std::chrono::duration<double>(aNow - aTenant.mRecentAt) /
                   std::chrono::duration<double>(kDemandDecay));
  aTenant.mRecentAt = aNow;
}

double
AllowanceClient::ExpectedRequests(core::TimePoint aNow, const Tenant& aTenant)
{
  const double recent =
    aTenant.mRecent *
    std::exp(-std::chrono::duration<double>(aNow - aTenant.mRecentAt) /
             std::chrono::duration<double>(kDemandDecay));
  return recent * (std::chrono::duration<double>(kPrefetchTime) /
                   std::chrono::duration<double>(kDemandDecay));
}

std::uint32_t
AllowanceClient::Available(core::TimePoint aNow, Tenant& aTenant)
{
  std::erase_if(aTenant.mGrants, [aNow](const Grant& aGrant) {
    return aGrant.mTokens == 0 || aGrant.mExpires <= aNow;
  });
  std::uint32_t sum = 0;
  for (const Grant& grant : aTenant.mGrants) {
    sum += grant.mTokens;
  }
  return sum;
}

void
AllowanceClient::AddDue(core::Incarnation aOwner, std::string_view aTenant)
{
  std::vector<std::string>& tenants = mDue[aOwner];
  if (!aTenant.empty() &&
      std::find(tenants.begin(), tenants.end(), aTenant) == tenants.end()) {
    tenants.emplace_back(aTenant);
  }
}

void
AllowanceClient::Prefetch(core::TimePoint aNow,
                          Tenant& aTenant,
                          core::Incarnation aOwner)
{
  const double expected = ExpectedRequests(aNow, aTenant);
  const double had =
    static_cast<double>(Available(aNow, aTenant)) + aTenant.mExpectedInFlight;
  if (expected < kSteadyDemand || had >= expected * kReplenishBelow ||
      aNow < aTenant.mRefusedUntil || aNow < aTenant.mNotOwnedUntil) {
    return;
  }
  aTenant.mExpected = static_cast<std::uint32_t>(std::lround(expected - had));
  AddDue(aOwner, aTenant.mLimit.mTenant);
}

std::uint64_t
AllowanceClient::Take(core::TimePoint aNow,
                      std::string_view aTenant,
                      AllowanceCallback aCallback)
{
  Tenant* tenant = Find(aTenant);
  if (tenant == nullptr || tenant->mLimit.mRatePerSecond <= 0) {
    aCallback({ true, AllowanceSource::Unlimited, {}, aNow });
    return 0;
  }
  CountRequest(aNow, *tenant);
  const core::Incarnation owner = mOwners.OwnerOf(aTenant);
  bool failed = !owner.IsKnown();
  if (!failed) {
    Owner& state =
      mOwnerStates.try_emplace(owner, Owner{ aNow, aNow, aNow }).first->second;
    state.mDemandAt = aNow;
    state.mIsIdle = false;
    failed = state.mFailed;
  }
  if (Available(aNow, *tenant) > 0) {
    Grant& grant = tenant->mGrants.front();
    --grant.mTokens;
    const AllowanceDecision decision{
      true, AllowanceSource::Owner, {}, grant.mExpires
    };
    if (!failed) {
      Prefetch(aNow, *tenant, owner);
    }
    aCallback(decision);
    return 0;
  }
  if (aNow < tenant->mRefusedUntil) {
    aCallback({ false,
                AllowanceSource::Refusal,
                std::chrono::ceil<milliseconds>(tenant->mRefusedUntil - aNow),
                aNow });
    return 0;
  }
  if (failed || aNow < tenant->mNotOwnedUntil) {
    aCallback(DecideByFallback(aNow, *tenant));
    return 0;
  }
  const std::uint64_t ticket = mNextTicket++;
  tenant->mWaiting.push_back({ ticket, std::move(aCallback) });
  AddDue(owner, aTenant);
  Prefetch(aNow, *tenant, owner);
  return ticket;
}

void
AllowanceClient::Cancel(std::uint64_t aTicket)
{
  const auto erase = [aTicket](std::vector<Waiting>& aWaiting) {
    return std::erase_if(aWaiting, [aTicket](const Waiting& aEntry) {
             return aEntry.mTicket == aTicket;
           }) > 0;
  };
  for (auto& [name, tenant] : mTenants) {
    if (erase(tenant.mWaiting)) {
      return;
    }
  }
  for (auto& [id, asked] : mAsked) {
    for (AskedItem& item : asked.mItems) {
      if (erase(item.mWaiting)) {
        return;
      }
    }
  }
}

void
AllowanceClient::Return(core::TimePoint aNow,
                        std::string_view aTenant,
                        core::TimePoint aReturnableUntil)
{
  Tenant* tenant = Find(aTenant);
  if (tenant != nullptr && aNow < aReturnableUntil) {
    tenant->mGrants.push_back({ 1, aReturnableUntil });
  }
}

std::vector<AllowanceAsk>
AllowanceClient::NextAsks(core::TimePoint aNow)
{
  std::vector<AllowanceAsk> asks;
  for (auto& [owner, names] : std::exchange(mDue, {})) {
    Owner& state = mOwnerStates[owner];
    AllowanceAsk ask{ mNextAsk++, owner, {} };
    ask.mRequest.mState = state.mFailed   ? TakeState::Fallback
                          : state.mIsIdle ? TakeState::Idle
                                          : TakeState::Normal;
    ask.mRequest.mLeaving = mOwners.Leaving();
    Asked asked{ owner, aNow, {} };
    for (std::string& name : names) {
      Tenant* tenant = Find(name);
      if (tenant == nullptr) {
        continue;
      }
      if (asked.mItems.size() >= kMaxTakeItems) {
        AddDue(owner, name);
        continue;
      }
      const std::uint32_t expected = std::exchange(tenant->mExpected, 0);
      tenant->mExpectedInFlight += expected;
      ask.mRequest.mItems.push_back(
        { name,
          static_cast<std::uint32_t>(tenant->mWaiting.size()),
          expected });
      asked.mItems.push_back(
        { std::move(name), std::exchange(tenant->mWaiting, {}), expected });
    }
    state.mAskedAt = aNow;
    mAsked.emplace(ask.mId, std::move(asked));
    asks.push_back(std::move(ask));
  }
  return asks;
}

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

void
AllowanceClient::Tick(core::TimePoint aNow)
{
  const core::Duration interval = ContactInterval(mOwners.Largest(aNow));
  for (auto entry = mOwnerStates.begin(); entry != mOwnerStates.end();) {
    Owner& owner = entry->second;
    if (owner.mIsIdle) {
      entry = mOwnerStates.erase(entry);
      continue;
    }
    const core::Duration pause = owner.mFailed ? kProbeInterval : interval;
    owner.mIsIdle = aNow - owner.mDemandAt >= kIdleTime;
    if (entry->first != mSelf &&
        (owner.mIsIdle || aNow - owner.mAskedAt >= pause)) {
      AddDue(entry->first, {});
    }
    ++entry;
  }
}

std::size_t
AllowanceClient::InFallback() const
{
  return static_cast<std::size_t>(
    std::count_if(mTenants.begin(), mTenants.end(), [](const auto& aEntry) {
      return aEntry.second.mFallback.has_value();
    }));
}

} // namespace nutmegrock::quota
