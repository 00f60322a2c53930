#include "quota/AllowanceOwner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegrock::quota {

namespace {

using std::chrono::milliseconds;

/// Time that a node waits after it has found the others, so that its first view
/// is complete.
constexpr milliseconds kJoinSettleTime{ 500 };
/// Time after which a running member has noticed that another one took its
/// tenants; a changed record reaches all of 100 nodes in 4.2 s.
constexpr milliseconds kTakeoverTime{ 4'000 };
/// Interval of requests to cede.
constexpr milliseconds kCedeInterval{ 200 };
/// Time after a change of owner at which all nodes know the new one: detection
/// of a failure differs by a few seconds between nodes.
constexpr milliseconds kKnownTime{ 10'000 };
/// Nodes that started within this time of each other started together, and
/// neither has granted its burst before.
constexpr milliseconds kStartPeriod{ 10'000 };
/// Time constant of the recent grants. Longer than the gaps between requests of
/// most tenants at one node.
constexpr std::chrono::seconds kGrantDecay{ 10 };
/// Part of the rate that shares of recent grants refer to at least. The first
/// nodes of an idle tenant would have large shares otherwise.
constexpr double kMinUse = 0.5;
/// Interval of updates of the withheld rate, which visit all nodes.
constexpr milliseconds kWithholdInterval{ 200 };
/// Interval of checks whether this node is cut off, which visit all nodes.
constexpr milliseconds kIsolationInterval{ 100 };
/// Time after which a silent node is forgotten.
constexpr std::chrono::seconds kForgetTime{ 60 };
constexpr std::chrono::seconds kForgetInterval{ 1 };
/// Part of the capacity that is granted to waiting requests only.
constexpr double kWaitingReserve = 0.3;
/// Tokens in addition to the burst. Random arrivals of a small tenant exceed a
/// burst of a few tokens again and again although its rate is within the limit.
/// A part of the fixed slack of the bound (20), of which fallback buckets use
/// 15.
constexpr double kExtraCapacity = 4;
/// Bounds of the time for which a node refuses without asking. The shortest one
/// limits the requests of a node for a tenant above its limit; the longest one
/// ends a refusal whose reason may be gone.
constexpr milliseconds kMinRetry{ 50 };
constexpr milliseconds kMaxRetry{ 1'000 };
/// Grants below which a node is not listed for a tenant any more.
constexpr double kMinCount = 0.01;
constexpr double kMillion = 1e6;

double
CapacityFor(double aBurst)
{
  return aBurst + kExtraCapacity;
}

milliseconds
RetryTime(const TokenBucket& aBucket, core::TimePoint aNow)
{
  const auto time = std::chrono::ceil<milliseconds>(aBucket.TimeUntil(aNow, 1));
  return std::clamp(time, kMinRetry, kMaxRetry);
}

} // namespace

void
AllowanceOwner::RecentGrants::Add(core::TimePoint aNow, double aCount)
{
  mCount = At(aNow) + aCount;
  mAt = aNow;
}

double
AllowanceOwner::RecentGrants::At(core::TimePoint aNow) const
{
  return mCount == 0
           ? 0
           : mCount * std::exp(-std::chrono::duration<double>(aNow - mAt) /
                               std::chrono::duration<double>(kGrantDecay));
}

AllowanceOwner::AllowanceOwner(core::TimePoint aNow, core::Incarnation aSelf)
  : mStarted(aNow)
  , mSelf(aSelf)
{
}

void
AllowanceOwner::SetLimits(core::TimePoint aNow,
                          const std::vector<TenantLimit>& aLimits)
{
  std::map<std::string, Tenant, std::less<>> tenants;
  for (const TenantLimit& limit : aLimits) {
    Tenant& tenant = tenants[limit.mTenant];
    const auto known = mTenants.find(limit.mTenant);
    if (known != mTenants.end()) {
      tenant = std::move(known->second);
    } else {
      tenant.mInitial = !mHasLimits;
    }
    const bool changed =
      tenant.mRate != limit.mRatePerSecond || tenant.mBurst != limit.mBurst;
    tenant.mRate = limit.mRatePerSecond;
    tenant.mBurst = limit.mBurst;
    if (tenant.mBucket && changed) {
      const double share = WithheldShare(aNow, tenant);
      tenant.mBucket->SetLimits(
        aNow, tenant.mRate * (1 - share), CapacityFor(tenant.mBurst));
    }
    if (mChoice) {
      UpdateOwnership(aNow, limit.mTenant, tenant, *mChoice);
    }
  }
  mTenants = std::move(tenants);
  mHasLimits = true;
}

void
AllowanceOwner::OnView(core::TimePoint aNow,
                       const OwnerChoice& aChoice,
                       bool aJoined)
{
  if (aJoined && !mJoinedAt) {
    mJoinedAt = aNow;
  }
  // Once this node sees the new owner, its own view decides.
  std::erase_if(mCeded, [&aChoice](const Ceded& aCeded) {
    const auto& owners = aChoice.Owners();
    return std::find(owners.begin(), owners.end(), aCeded.mTo) != owners.end();
  });
  for (auto& [name, tenant] : mTenants) {
    UpdateOwnership(aNow, name, tenant, aChoice);
  }
  mChoice = aChoice;
}

bool
AllowanceOwner::TakesFromRunning(std::string_view aName,
                                 const OwnerChoice& aChoice,
                                 core::Incarnation aPrevious) const
{
  const core::Incarnation other =
    aPrevious.IsKnown() ? aPrevious : aChoice.OwnerWithout(aName, mSelf);
  return other.IsKnown() && aChoice.IsCandidate(other) &&
         aChoice.JoinedMs(other) + kStartPeriod.count() <
           aChoice.JoinedMs(mSelf);
}

void
AllowanceOwner::UpdateOwnership(core::TimePoint aNow,
                                std::string_view aName,
                                Tenant& aTenant,
                                const OwnerChoice& aChoice) const
{
  if (aChoice.OwnerOf(aName) != mSelf) {
    aTenant.mIsOwned = false;
    aTenant.mBucket.reset();
    return;
  }
  core::Incarnation previous = mChoice ? mChoice->OwnerOf(aName) : mSelf;
  if (previous == mSelf) {
    previous = {};
  }
  const bool gained = !aTenant.mIsOwned;
  const bool is_young = aNow - mStarted <= kStartPeriod;
  // The view of a node that starts may not be complete at first, so that it is
  // checked again which member it takes the tenant from.
  if (!gained && (!is_young || aTenant.mTakenOver)) {
    return;
  }
  const bool from_running =
    TakesFromRunning(aName, aChoice, previous) ||
    (!is_young && previous.IsKnown() && aChoice.IsCandidate(previous));
  if (!gained && !from_running) {
    return;
  }
  aTenant.mIsOwned = true;
  aTenant.mTakenOver = from_running || previous.IsKnown();
  aTenant.mOwnedSince = from_running         ? aNow + kTakeoverTime
                        : previous.IsKnown() ? aNow
                                             : mStarted;
  // A tenant that was added, or added again, has no burst at first.
  const core::TimePoint start = aTenant.mInitial
                                  ? aTenant.mOwnedSince
                                  : std::max(aNow, aTenant.mOwnedSince);
  aTenant.mCedeFrom = {};
  if (from_running) {
    aTenant.mCedeFrom =
      previous.IsKnown() ? previous : aChoice.OwnerWithout(aName, mSelf);
  }
  StartBucket(start, aTenant);
}

void
AllowanceOwner::StartBucket(core::TimePoint aStart, Tenant& aTenant)
{
  aTenant.mBucket.emplace(aStart, aTenant.mRate, CapacityFor(aTenant.mBurst));
  aTenant.mWithheldAt = {};
}

std::vector<core::Incarnation>
AllowanceOwner::NextCedeRequests(core::TimePoint aNow)
{
  std::vector<core::Incarnation> members;
  if (aNow - mCedeRequestsAt < kCedeInterval) {
    return members;
  }
  mCedeRequestsAt = aNow;
  for (const auto& [name, tenant] : mTenants) {
    if (tenant.mIsOwned && tenant.mCedeFrom.IsKnown() &&
        aNow < tenant.mOwnedSince &&
        std::find(members.begin(), members.end(), tenant.mCedeFrom) ==
          members.end()) {
      members.push_back(tenant.mCedeFrom);
    }
  }
  return members;
}

void
AllowanceOwner::OnCeded(core::TimePoint aNow, core::Incarnation aMember)
{
  for (auto& [name, tenant] : mTenants) {
    if (tenant.mIsOwned && tenant.mCedeFrom == aMember &&
        aNow < tenant.mOwnedSince) {
      tenant.mCedeFrom = {};
      tenant.mOwnedSince = aNow;
      StartBucket(aNow, tenant);
    }
  }
}

void
AllowanceOwner::Cede(core::TimePoint aNow,
                     core::Incarnation aTo,
                     std::vector<core::Incarnation> aOwners)
{
  std::erase_if(mCeded, [aNow, aTo](const Ceded& aCeded) {
    return aCeded.mTo == aTo || aCeded.mUntil <= aNow;
  });
  if (mCeded.size() < kMaxMembers) {
    mCeded.push_back({ aTo, std::move(aOwners), aNow + kTakeoverTime });
  }
}

bool
AllowanceOwner::IsCeded(core::TimePoint aNow, std::string_view aName) const
{
  return std::any_of(
    mCeded.begin(), mCeded.end(), [aNow, aName](const Ceded& aCeded) {
      return aNow < aCeded.mUntil &&
             OwnerChoice::OwnerAmong(aCeded.mOwners, aName) == aCeded.mTo;
    });
}

// The others may choose another owner while this node is cut off. Tokens that
// were saved before would be a second burst.
void
AllowanceOwner::CheckIsolation(core::TimePoint aNow)
{
  if (!mChoice || mNodes.empty() ||
      aNow - mIsolationCheckedAt < kIsolationInterval) {
    return;
  }
  mIsolationCheckedAt = aNow;
  const core::Duration silence = SilenceTime(mChoice->Largest(aNow));
  const auto silent =
    std::count_if(mNodes.begin(), mNodes.end(), [&](const auto& aNode) {
      return IsSilent(aNow, silence, aNode.second);
    });
  const bool isolated = static_cast<std::size_t>(silent) * 2 > mNodes.size();
  if (std::exchange(mIsIsolated, isolated) == isolated) {
    return;
  }
  for (auto& [name, tenant] : mTenants) {
    if (tenant.mIsOwned && isolated) {
      StartBucket(std::max(aNow, tenant.mOwnedSince), tenant);
    } else if (tenant.mIsOwned) {
      tenant.mTakenOver = true;
      tenant.mOwnedSince = aNow + kTakeoverTime;
      tenant.mCedeFrom = mChoice->OwnerWithout(name, mSelf);
      StartBucket(tenant.mOwnedSince, tenant);
    }
  }
}

bool
AllowanceOwner::IsActing(core::TimePoint aNow,
                         std::string_view aName,
                         const Tenant& aTenant) const
{
  return aTenant.mIsOwned && !mLeaving && !IsCeded(aNow, aName) &&
         aNow >= aTenant.mOwnedSince && mJoinedAt &&
         aNow >= *mJoinedAt + kJoinSettleTime && mChoice &&
         !mChoice->IsMinority(aNow);
}

double
AllowanceOwner::WithheldShare(core::TimePoint aNow, const Tenant& aTenant) const
{
  if (!mChoice) {
    return 0;
  }
  const std::size_t members = mChoice->Largest(aNow);
  const core::Duration silence = SilenceTime(members);
  double share = 0;
  for (const auto& [bits, node] : mNodes) {
    if (IsSilent(aNow, silence, node)) {
      const auto grants = aTenant.mByNode.find(bits);
      share += FallbackShare(
        grants == aTenant.mByNode.end() ? 0 : grants->second.mToldShare,
        members);
    }
  }
  // Members that have gone may be cut off.
  const auto part = [members](std::size_t aCount) {
    return static_cast<double>(aCount) / static_cast<double>(members);
  };
  share = std::max(share, part(members - mChoice->Alive()));
  if (aTenant.mTakenOver && aNow < aTenant.mOwnedSince + kKnownTime) {
    const std::size_t known = mNodes.size() + 1;
    share += part(mChoice->Alive() - std::min(known, mChoice->Alive()));
  }
  return std::min(share, 1.0);
}

void
AllowanceOwner::WithholdFallback(core::TimePoint aNow, Tenant& aTenant) const
{
  if (aNow - aTenant.mWithheldAt < kWithholdInterval) {
    return;
  }
  aTenant.mWithheldAt = aNow;
  aTenant.mBucket->SetLimits(aNow,
                             aTenant.mRate * (1 - WithheldShare(aNow, aTenant)),
                             CapacityFor(aTenant.mBurst));
}

bool
AllowanceOwner::IsSilent(core::TimePoint aNow,
                         core::Duration aSilenceTime,
                         const Node& aNode)
{
  return aNode.mState == TakeState::Fallback ||
         (aNode.mState == TakeState::Normal &&
          aNow - aNode.mHeardAt >= aSilenceTime);
}

void
AllowanceOwner::ForgetNodes(core::TimePoint aNow)
{
  if (aNow - mForgottenAt < kForgetInterval) {
    return;
  }
  mForgottenAt = aNow;
  std::erase_if(mNodes, [aNow](const auto& aNode) {
    return aNow - aNode.second.mHeardAt >= kForgetTime;
  });
  for (auto& [name, tenant] : mTenants) {
    std::erase_if(tenant.mByNode, [&](const auto& aGrants) {
      return aGrants.second.At(aNow) < kMinCount &&
             !mNodes.contains(aGrants.first);
    });
  }
}

TakeResponse
AllowanceOwner::Take(core::TimePoint aNow,
                     core::Incarnation aFrom,
                     const TakeRequest& aRequest)
{
  CheckIsolation(aNow);
  ForgetNodes(aNow);
  if (aFrom != mSelf) {
    mNodes[aFrom.mBits] = { aNow, aRequest.mState };
  }
  TakeResponse response;
  response.mLeaving = mLeaving;
  response.mGrants.reserve(aRequest.mItems.size());
  for (const TakeItem& item : aRequest.mItems) {
    response.mGrants.push_back(Grant(aNow, aFrom, item));
  }
  return response;
}

TakeGrant
AllowanceOwner::Grant(core::TimePoint aNow,
                      core::Incarnation aFrom,
                      const TakeItem& aItem)
{
  const auto found = mTenants.find(aItem.mTenant);
  if (found == mTenants.end() || !IsActing(aNow, found->first, found->second)) {
    return {};
  }
  Tenant& tenant = found->second;
  WithholdFallback(aNow, tenant);
  TokenBucket& bucket = *tenant.mBucket;
  TakeGrant grant;
  grant.mOwned = true;
  grant.mGranted = bucket.Take(aNow, aItem.mWaiting);
  if (grant.mGranted < aItem.mWaiting) {
    grant.mRetryAfter = RetryTime(bucket, aNow);
  } else {
    grant.mGranted +=
      bucket.Take(aNow, aItem.mExpected, kWaitingReserve * bucket.Capacity());
  }
  // The present grant is left out: a share measured right after a grant is too
  // large on average, for a rare tenant several times.
  RecentGrants& own = tenant.mByNode[aFrom.mBits];
  const double all =
    std::max(tenant.mGrants.At(aNow),
             kMinUse * tenant.mRate *
               std::chrono::duration<double>(kGrantDecay).count());
  own.mToldShare = all > 0 ? std::min(1.0, own.At(aNow) / all) : 0;
  tenant.mGrants.Add(aNow, grant.mGranted);
  own.Add(aNow, grant.mGranted);
  grant.mSharePpm =
    static_cast<std::uint32_t>(std::lround(own.mToldShare * kMillion));
  return grant;
}

std::size_t
AllowanceOwner::Owned() const
{
  return static_cast<std::size_t>(
    std::count_if(mTenants.begin(), mTenants.end(), [](const auto& aEntry) {
      return aEntry.second.mIsOwned;
    }));
}

} // namespace nutmegrock::quota
