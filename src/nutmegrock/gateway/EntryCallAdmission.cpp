// What a request is and whether it is admitted: its route, tenant and rank.
#include "core/Digest.h"
#include "gateway/AllowanceExchange.h"
#include "gateway/EntryCall.h"
#include "proxy/TenantKey.h"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Part of the rank that a request shares with all its calls, for calls whose
/// request is not known.
constexpr double kUnknownRank = 0.9;
/// The same if FairOrder ranks the requests, most of which it places below
/// 0.75.
constexpr double kUnknownFairRank = 0.65;

} // namespace

bool
EntryCall::FindRoute()
{
  mRoutes = mEntry.mRoutes.Current();
  if (!mRoutes) {
    Fail(core::MakeError(core::ErrorKind::NoProfiles,
                         "this node has not received any routes yet"));
    return false;
  }
  const proxy::RequestHead& head = mExchange->Head();
  mRoute = mRoutes->Find(head.mHost, head.mTarget);
  if (mRoute == nullptr) {
    Fail(mRoutes->IsSkipped(head.mHost, head.mTarget)
           ? core::MakeError(core::ErrorKind::NoProfiles,
                             "the route of this host and path was not read")
           : core::MakeError(core::ErrorKind::NotFound,
                             "no route matches this host and path"));
    return false;
  }
  if (head.mRequestId.empty()) {
    Fail(core::MakeError(core::ErrorKind::BadRequest,
                         "the request has no request ID"));
    return false;
  }
  return true;
}

// Requests of backend servers have anonymous routes. The key is not kept: only
// its digest is compared, and nothing logs or forwards it.
bool
EntryCall::FindTenant()
{
  if (!mRoutes->NeedsKeys()) {
    return true;
  }
  if (!mRoute->mAnonymous) {
    const std::string_view key =
      proxy::TenantKeyOf(mExchange->Head(), mEntry.mComponents.mPool.Names());
    mTenant = key.empty() ? nullptr : mRoutes->FindTenant(core::Sha256Hex(key));
  }
  mExchange->DropKey();
  if (mTenant == nullptr && !mRoute->mAnonymous) {
    Fail(core::MakeError(core::ErrorKind::Unauthorized,
                         "the request has no key of a tenant"));
    return false;
  }
  return true;
}

// A caller that sends many requests without waiting for the responses must not
// take capacity from those that do.
double
EntryCall::RankWith(double aPart)
{
  if (mExchange->IsAhead()) {
    return static_cast<double>(overload::kPriorities - 1) + aPart;
  }
  const std::uint32_t tenant =
    mTenant == nullptr ? 0 : mTenant->mPriority.value_or(0);
  return mEntry.OrderOf(*mRoutes).Rank(tenant, mRoute->mPriority, aPart);
}

double
EntryCall::FairPart()
{
  if (!mRoutes->NeedsKeys()) {
    return overload::PartOf(mHash);
  }
  const auto scarce = mEntry.mAdmission.FindScarce(mRoute->mName, mZone);
  overload::FairRequest request;
  request.mTenant = mTenant == nullptr ? std::string_view() : mTenant->mName;
  request.mHash = mHash;
  request.mAhead = mExchange->InFlightBefore();
  request.mService = overload::ServicesOfName(scarce.mName).first;
  request.mCost = scarce.mCost;
  return mEntry.mFairOrder.PartOf(mArrived, request);
}

void
EntryCall::SetDeadline()
{
  const auto requested = mExchange->Head().mTimeout;
  const milliseconds wait =
    std::min(requested.value_or(mRoute->mTimeout), mRoute->mTimeout);
  mDeadline = mArrived + wait;
}

bool
EntryCall::Admit()
{
  if (mNested) {
    return true;
  }
  overload::EntryRequest request;
  request.mRoute = mRoute->mName;
  request.mZone = mZone;
  request.mPriority = mRoute->mPriority;
  request.mLatencyObjective = mRoute->mLatencyObjective;
  request.mHash = mHash;
  request.mRank = RankWith(FairPart());
  const auto decision = mEntry.mAdmission.Decide(request);
  mChain.mRank = decision.mRank;
  if (decision.mAdmitted) {
    return true;
  }
  mEntry.mComponents.mRegistry
    .CounterOf("nutmegrock_shed_total",
               { { "route", mRoute->mName }, { "service", decision.mService } })
    .Add();
  core::Error error = core::MakeError(
    core::ErrorKind::LevelTooLow,
    fmt::format("service {} is overloaded: rank {:.3f}, cutoff {:.3f}",
                decision.mService,
                decision.mRank,
                decision.mCutoff));
  error.mRetryAfter = decision.mRetryAfter;
  Fail(error);
  return false;
}

// Calls of a route that is not known to be nested may be requests of callers,
// so only the route decides on their rank.
void
EntryCall::FindChain()
{
  mChain.mFinishBy = mDeadline;
  if (!mNested) {
    mDemandRank = mChain.mRank;
    return;
  }
  mChain.mRank =
    RankWith(mRoutes->NeedsKeys() ? kUnknownFairRank : kUnknownRank);
  mChain.mRetryShare = mEntry.mComponents.mRetryShares.Share();
  mDemandRank = mChain.mRank;
  const auto timeout = mExchange->Head().mTimeout;
  if (!mInternal || !timeout) {
    return;
  }
  mParent = mEntry.mComponents.mRuns.OnCall(mArrived, mRoute->mName, *timeout);
  mEntry.mComponents.mRegistry
    .CounterOf("nutmegrock_nested_calls_total",
               { { "route", mRoute->mName },
                 { "parent",
                   !mParent               ? "unknown"
                   : mParent->mIdentified ? "identified"
                                          : "attributed" } })
    .Add();
  if (!mParent) {
    return;
  }
  mDemandRank = mParent->mChain.mRank;
  mChain.mRetryShare = mParent->mChain.mRetryShare;
  if (mParent->mIdentified) {
    mChain = mParent->mChain;
    mChain.mFinishBy = std::min(mChain.mFinishBy, mDeadline);
  }
}

// Only requests with a tenant's key are limited; calls of servers and requests
// of anonymous routes have none.
void
EntryCall::TakeAllowance()
{
  if (mTenant == nullptr || mEntry.mTenantAllowances == nullptr) {
    Proceed();
    return;
  }
  mWaitsForToken = true;
  mTicket = mEntry.mTenantAllowances->Take(
    mTenant->mName,
    [weak = weak_from_this()](const quota::AllowanceDecision& aDecision) {
      if (const auto self = weak.lock()) {
        self->OnAllowance(aDecision);
      }
    });
}

void
EntryCall::OnAllowance(const quota::AllowanceDecision& aDecision)
{
  mWaitsForToken = false;
  mTicket = 0;
  if (mDone) {
    return;
  }
  if (!aDecision.mGranted) {
    core::Error error = core::MakeError(
      core::ErrorKind::AllowanceExceeded,
      fmt::format("tenant {} is above its allowance, decided by {}",
                  mTenant->mName,
                  quota::NameOf(aDecision.mSource)));
    error.mRetryAfter = aDecision.mRetryAfter;
    Fail(error);
    return;
  }
  mTokenUntil = aDecision.mReturnableUntil;
  Proceed();
  // Otherwise reading goes on when bytes have been sent, or ends with the
  // response.
  if (mCollecting || (mAttempt && mAttempt->Unsent() <= proxy::kMaxUnsent)) {
    mExchange->PauseBody(false);
  }
}

// The bytes that were read with the last ones may follow; they fit into the
// part of the body that is kept.
void
EntryCall::PauseWhileWaiting()
{
  if (mReplay.size() >= proxy::kMaxUnsent) {
    mExchange->PauseBody(true);
  }
}

void
EntryCall::ReturnToken()
{
  if (mTicket != 0) {
    mEntry.mTenantAllowances->Cancel(std::exchange(mTicket, 0));
  }
  if (mTokenUntil) {
    mEntry.mTenantAllowances->Return(mTenant->mName, *mTokenUntil);
  }
  mTokenUntil.reset();
}

} // namespace nutmegrock::gateway
