#include "gateway/AllowanceExchange.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <spdlog/fmt/fmt.h>
#include <utility>
#include <vector>

namespace nutmegrock::gateway {

namespace {

/// Maximum number of tenants whose counters are cached.
constexpr std::size_t kMaxTenants = 1024;

std::vector<quota::TenantLimit>
LimitsOf(const routes::RouteSet& aRoutes)
{
  std::vector<quota::TenantLimit> limits;
  for (const routes::Tenant& tenant : aRoutes.Tenants()) {
    if (tenant.mRatePerSecond > 0) {
      limits.push_back(
        { tenant.mName, tenant.mRatePerSecond, std::max(0.0, tenant.mBurst) });
    }
  }
  return limits;
}

} // namespace

std::shared_ptr<AllowanceExchange>
AllowanceExchange::Create(Dependencies aDependencies, core::Incarnation aSelf)
{
  return std::shared_ptr<AllowanceExchange>(
    new AllowanceExchange(std::move(aDependencies), aSelf));
}

AllowanceExchange::AllowanceExchange(Dependencies aDependencies,
                                     core::Incarnation aSelf)
  : mDependencies(std::move(aDependencies))
  , mSelf(aSelf)
  , mOwner(mDependencies.mNow(), aSelf)
  , mTokens(aSelf, aSelf.mBits)
  , mAsked(
      mDependencies.mRegistry.CounterOf("nutmegrock_allowance_asked_total"))
  , mAskFailed(mDependencies.mRegistry.CounterOf(
      "nutmegrock_allowance_ask_failed_total"))
  , mAnswered(
      mDependencies.mRegistry.CounterOf("nutmegrock_allowance_answered_total"))
  , mInvalid(
      mDependencies.mRegistry.CounterOf("nutmegrock_allowance_invalid_total"))
{
}

AllowanceExchange::TenantCounters&
AllowanceExchange::CountersOf(const std::string& aTenant)
{
  if (mCounters.size() > kMaxTenants) {
    mCounters.clear();
  }
  TenantCounters& counters = mCounters[aTenant];
  if (counters.mGranted == nullptr) {
    const auto counter = [&](std::string_view aName) {
      return &mDependencies.mRegistry.CounterOf(aName,
                                                { { "tenant", aTenant } });
    };
    counters.mGranted = counter("nutmegrock_allowance_granted_total");
    counters.mRefused = counter("nutmegrock_allowance_refused_total");
    counters.mFallback = counter("nutmegrock_allowance_fallback_total");
  }
  return counters;
}

void
AllowanceExchange::Count(const std::string& aTenant,
                         const quota::AllowanceDecision& aDecision)
{
  if (aDecision.mSource == quota::AllowanceSource::Unlimited) {
    return;
  }
  TenantCounters& counters = CountersOf(aTenant);
  (aDecision.mGranted ? counters.mGranted : counters.mRefused)->Add();
  if (aDecision.mSource == quota::AllowanceSource::Fallback) {
    counters.mFallback->Add();
  }
}

std::uint64_t
AllowanceExchange::Take(const std::string& aTenant,
                        quota::AllowanceCallback aCallback)
{
  const std::uint64_t ticket =
    mTokens.Take(mDependencies.mNow(),
                 aTenant,
                 [this, aTenant, callback = std::move(aCallback)](
                   const quota::AllowanceDecision& aDecision) {
                   Count(aTenant, aDecision);
                   callback(aDecision);
                 });
  ScheduleSend();
  return ticket;
}

void
AllowanceExchange::Return(std::string_view aTenant,
                          core::TimePoint aReturnableUntil)
{
  mTokens.Return(mDependencies.mNow(), aTenant, aReturnableUntil);
}

core::Expected<std::string>
AllowanceExchange::Handle(core::Incarnation aFrom,
                          std::string_view aMethod,
                          std::string_view aArgument)
{
  auto response = aMethod == kCede ? HandleCede(aFrom, aArgument)
                                   : HandleTake(aFrom, aArgument);
  (response ? mAnswered : mInvalid).Add();
  return response;
}

core::Expected<std::string>
AllowanceExchange::HandleTake(core::Incarnation aFrom,
                              std::string_view aArgument)
{
  const auto request = quota::DecodeTakeRequest(aArgument);
  if (!request) {
    return tl::make_unexpected(request.error());
  }
  const core::TimePoint now = mDependencies.mNow();
  AddLeaving(now, *request);
  return quota::Encode(mOwner.Take(now, aFrom, *request));
}

core::Expected<std::string>
AllowanceExchange::HandleCede(core::Incarnation aFrom,
                              std::string_view aArgument)
{
  auto owners = quota::DecodeOwners(aArgument);
  if (!owners) {
    return tl::make_unexpected(owners.error());
  }
  mOwner.Cede(mDependencies.mNow(), aFrom, std::move(*owners));
  return std::string();
}

void
AllowanceExchange::AddLeaving(core::TimePoint aNow,
                              const quota::TakeRequest& aRequest)
{
  bool changed = false;
  for (const core::Incarnation member : aRequest.mLeaving) {
    if (member != mSelf && mTokens.Owners().IsCandidate(member)) {
      mTokens.AddLeaving(member);
      changed = true;
    }
  }
  if (changed) {
    mOwner.OnView(aNow, mTokens.Owners(), mHasJoined);
  }
}

void
AllowanceExchange::OnView(const membership::MemberView& aView, bool aJoined)
{
  const core::TimePoint now = mDependencies.mNow();
  mHasJoined = mHasJoined || aJoined;
  quota::OwnerView view;
  view.mAlive = aView.Alive();
  std::map<core::Incarnation, Peer> peers;
  std::vector<core::Address> in_use;
  for (const membership::MemberPtr& member : aView.mMembers) {
    const bool is_leaving = member->mState == membership::MemberState::Draining;
    peers[member->mIncarnation] = { member->mAddress, is_leaving };
    in_use.push_back(member->mAddress);
    if (!is_leaving) {
      view.mCandidates.push_back({ member->mIncarnation, member->mJoinedMs });
    }
  }
  std::sort(in_use.begin(), in_use.end());
  // A member that has left, or whose address another one uses, has ended; one
  // that was declared dead may be cut off.
  for (const auto& [former, peer] : std::exchange(mPeers, peers)) {
    if (!peers.contains(former) &&
        (peer.mIsLeaving ||
         std::binary_search(in_use.begin(), in_use.end(), peer.mAddress))) {
      mOwner.Forget(former);
    }
  }
  mTokens.OnView(now, std::move(view), mHasJoined);
  mOwner.OnView(now, mTokens.Owners(), mHasJoined);
  SendCedeRequests();
}

void
AllowanceExchange::OnRoutes(const routes::RouteSet& aRoutes)
{
  const core::TimePoint now = mDependencies.mNow();
  const std::vector<quota::TenantLimit> limits = LimitsOf(aRoutes);
  mOwner.SetLimits(now, limits);
  mTokens.SetLimits(now, limits);
}

void
AllowanceExchange::Tick()
{
  mTokens.Tick(mDependencies.mNow());
  SendDue();
  SendCedeRequests();
}

void
AllowanceExchange::StartLeaving()
{
  mOwner.StartLeaving();
}

std::string
AllowanceExchange::StatusText() const
{
  return fmt::format(
    "tenants owned {} in fallback {}\n", mOwner.Owned(), mTokens.InFallback());
}

void
AllowanceExchange::ScheduleSend()
{
  if (!mTokens.HasAsks() || mSendDue) {
    return;
  }
  mSendDue = true;
  boost::asio::post(mDependencies.mIo, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->mSendDue = false;
      self->SendDue();
    }
  });
}

void
AllowanceExchange::SendDue()
{
  const core::TimePoint now = mDependencies.mNow();
  for (const quota::AllowanceAsk& ask : mTokens.NextAsks(now)) {
    if (ask.mOwner == mSelf) {
      mTokens.OnResponse(now, ask.mId, mOwner.Take(now, mSelf, ask.mRequest));
    } else {
      Send(ask);
    }
  }
  // A response may have led to further requests.
  ScheduleSend();
}

void
AllowanceExchange::Send(const quota::AllowanceAsk& aAsk)
{
  mAsked.Add();
  Control(aAsk.mOwner,
          kTake,
          quota::Encode(aAsk.mRequest),
          [this, id = aAsk.mId](const core::Expected<std::string>& aResult) {
            OnResult(id, aResult);
          });
}

void
AllowanceExchange::SendCedeRequests()
{
  for (const core::Incarnation member :
       mOwner.NextCedeRequests(mDependencies.mNow())) {
    Control(member,
            kCede,
            quota::EncodeOwners(mTokens.Owners().Owners()),
            [this, member](const core::Expected<std::string>& aResult) {
              if (aResult) {
                mOwner.OnCeded(mDependencies.mNow(), member);
              } else {
                mAskFailed.Add();
              }
            });
  }
}

void
AllowanceExchange::Control(
  core::Incarnation aTo,
  std::string_view aMethod,
  std::string aArgument,
  std::function<void(const core::Expected<std::string>&)> aHandler)
{
  const auto peer = mPeers.find(aTo);
  if (peer == mPeers.end()) {
    aHandler(core::Fail(core::ErrorKind::PeerUnreachable,
                        "the owner is not a member"));
    return;
  }
  mDependencies.mClient.Control(
    peer->second.mAddress,
    aTo,
    std::string(aMethod),
    std::move(aArgument),
    mDependencies.mNow() + quota::AllowanceClient::kResponseTimeout,
    [weak = weak_from_this(), handler = std::move(aHandler)](
      const core::Expected<std::string>& aResult) {
      if (weak.lock()) {
        handler(aResult);
      }
    });
}

void
AllowanceExchange::OnResult(std::uint64_t aAsk,
                            const core::Expected<std::string>& aResult)
{
  const core::TimePoint now = mDependencies.mNow();
  const auto response = aResult.and_then(
    [](const std::string& aText) { return quota::DecodeTakeResponse(aText); });
  if (response) {
    mTokens.OnResponse(now, aAsk, *response);
  } else {
    mAskFailed.Add();
    mTokens.OnFailure(now, aAsk);
  }
  ScheduleSend();
}

} // namespace nutmegrock::gateway
