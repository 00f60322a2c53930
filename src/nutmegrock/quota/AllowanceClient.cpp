#include "quota/AllowanceClient.h"

#include <algorithm>
#include <cmath>
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
/// Pause between requests to an owner that does not respond.
constexpr milliseconds kProbeInterval{ 250 };
/// Time without demand after which an owner is not contacted any more.
constexpr std::chrono::seconds kIdleTime{ 60 };
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
