#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/Random.h"
#include "quota/AllowanceOwner.h"
#include "quota/OwnerChoice.h"
#include "quota/TakeMessage.h"
#include "quota/TokenBucket.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegrock::quota {

/// How a request of a tenant was decided.
enum class AllowanceSource : std::uint8_t
{
  /// The tenant has no limit.
  Unlimited,
  /// A token that the owner granted, or the owner's refusal.
  Owner,
  /// An earlier refusal of the owner that still holds.
  Refusal,
  /// The fallback bucket of this node.
  Fallback
};

/// "unlimited", "owner", "refusal" or "fallback".
std::string_view
NameOf(AllowanceSource aSource);

struct AllowanceDecision
{
  bool mGranted = false;
  AllowanceSource mSource = AllowanceSource::Unlimited;
  /// Time after which the tenant may have a token, if it was not granted.
  std::chrono::milliseconds mRetryAfter{ 0 };
  /// Time until which an unused token can be returned; not after the present if
  /// it cannot.
  core::TimePoint mReturnableUntil;
};

using AllowanceCallback = std::function<void(const AllowanceDecision&)>;

/// A request for an owner. It ends with OnResponse() or OnFailure().
struct AllowanceAsk
{
  std::uint64_t mId = 0;
  core::Incarnation mOwner;
  TakeRequest mRequest;
};

/// Spends the tokens that owners grant to this node, and decides for each
/// request of a tenant whether it may run. Used on one thread.
class AllowanceClient
{
public:
  /// A grant is spent within this time after it was asked for.
  static constexpr std::chrono::milliseconds kGrantLifetime{ 300 };
  /// Demand for which a node with steady demand asks in advance.
  static constexpr std::chrono::milliseconds kPrefetchTime{ 250 };
  /// An owner that takes longer to respond has failed.
  static constexpr std::chrono::milliseconds kResponseTimeout{ 150 };

  /// @param aSeed for the decisions of fallback buckets
  AllowanceClient(core::Incarnation aSelf, std::uint64_t aSeed);

  void SetLimits(core::TimePoint aNow, const std::vector<TenantLimit>& aLimits);
  /// @param aJoined false as long as this node has not found the others
  void OnView(core::TimePoint aNow, OwnerView aView, bool aJoined);
  const OwnerChoice& Owners() const { return mOwners; }
  /// Another node reports that a member leaves.
  void AddLeaving(core::Incarnation aMember) { mOwners.AddLeaving(aMember); }

  /// Decides on a request. The callback runs before this returns if the
  /// decision needs no response. Returns a number to cancel with, or 0.
  std::uint64_t Take(core::TimePoint aNow,
                     std::string_view aTenant,
                     AllowanceCallback aCallback);
  /// The request does not need a token any more. Its callback is not called; a
  /// token that was asked for it remains for other requests.
  void Cancel(std::uint64_t aTicket);
  /// A granted token was not used.
  void Return(core::TimePoint aNow,
              std::string_view aTenant,
              core::TimePoint aReturnableUntil);

  /// True if NextAsks() may return something.
  bool HasAsks() const { return !mDue.empty(); }
  /// Requests that are due for owners, at most one for each.
  std::vector<AllowanceAsk> NextAsks(core::TimePoint aNow);
  void OnResponse(core::TimePoint aNow,
                  std::uint64_t aAsk,
                  const TakeResponse& aResponse);
  /// The owner did not respond in time, or the response is invalid.
  void OnFailure(core::TimePoint aNow, std::uint64_t aAsk);
  /// Marks owners that have not been contacted for a while as due. Call it at
  /// least every 100 ms.
  void Tick(core::TimePoint aNow);
  /// Number of tenants whose requests are decided by a fallback bucket.
  std::size_t InFallback() const;

private:
  struct Grant
  {
    std::uint32_t mTokens = 0;
    core::TimePoint mExpires;
  };

  struct Waiting
  {
    std::uint64_t mTicket = 0;
    AllowanceCallback mCallback;
  };

  struct Tenant
  {
    TenantLimit mLimit;
    std::deque<Grant> mGrants;
    /// Requests that are not part of an ask yet.
    std::vector<Waiting> mWaiting;
    /// Tokens to ask for in advance.
    std::uint32_t mExpected = 0;
    /// Tokens asked for in advance that have no response yet.
    std::uint32_t mExpectedInFlight = 0;
    core::TimePoint mRefusedUntil;
    /// Until then the owner is not asked, since it does not own the tenant yet.
    core::TimePoint mNotOwnedUntil;
    /// Decaying number of requests.
    double mRecent = 0;
    core::TimePoint mRecentAt;
    /// Share of the recent grants that the owner named last.
    double mShare = 0;
    std::optional<TokenBucket> mFallback;
  };

  struct Owner
  {
    core::TimePoint mAskedAt;
    /// Time of the last response; the time of the first request before it.
    core::TimePoint mContactAt;
    core::TimePoint mDemandAt;
    /// The last request failed.
    bool mFailed = false;
    /// There has been no demand for a while.
    bool mIsIdle = false;
  };

  struct AskedItem
  {
    std::string mTenant;
    std::vector<Waiting> mWaiting;
    std::uint32_t mExpected = 0;
  };

  struct Asked
  {
    core::Incarnation mOwner;
    core::TimePoint mAt;
    std::vector<AskedItem> mItems;
  };

  static void CountRequest(core::TimePoint aNow, Tenant& aTenant);
  /// Requests that are expected within kPrefetchTime.
  static double ExpectedRequests(core::TimePoint aNow, const Tenant& aTenant);
  static std::uint32_t Available(core::TimePoint aNow, Tenant& aTenant);
  /// Asks in advance if the demand is steady.
  void Prefetch(core::TimePoint aNow,
                Tenant& aTenant,
                core::Incarnation aOwner);
  AllowanceDecision DecideByFallback(core::TimePoint aNow, Tenant& aTenant);
  /// @param aContactAt time at which the owner heard this node for certain
  void StartFallback(core::TimePoint aNow,
                     Tenant& aTenant,
                     core::TimePoint aContactAt) const;
  void SetFallbackLimits(core::TimePoint aNow, Tenant& aTenant) const;
  void StartFallbacks(core::TimePoint aNow, core::Incarnation aOwner);
  /// Tells owners that are new to this node that it knows them.
  void ContactNewOwners(core::TimePoint aNow,
                        const std::vector<core::Incarnation>& aFormer);
  bool HasDemandFor(core::TimePoint aNow, core::Incarnation aOwner) const;
  /// The decisions of one response, whose callbacks run when the state is
  /// consistent.
  using Decisions =
    std::vector<std::pair<AllowanceCallback, AllowanceDecision>>;

  void ApplyGrant(core::TimePoint aNow,
                  core::TimePoint aAskedAt,
                  AskedItem& aItem,
                  const TakeGrant& aGrant,
                  Decisions& aDecisions);
  void DecideAllByFallback(core::TimePoint aNow,
                           AskedItem& aItem,
                           Decisions& aDecisions);
  /// The owner leaves: asks the next one.
  void Reassign(core::TimePoint aNow, AskedItem& aItem, Decisions& aDecisions);
  void AddDue(core::Incarnation aOwner, std::string_view aTenant);
  Tenant* Find(std::string_view aTenant);

  const core::Incarnation mSelf;
  bool mJoined = false;
  OwnerChoice mOwners;
  membership::Random mRandom;
  std::uint64_t mNextTicket = 1;
  std::uint64_t mNextAsk = 1;
  std::map<std::string, Tenant, std::less<>> mTenants;
  std::map<core::Incarnation, Owner> mOwnerStates;
  std::unordered_map<std::uint64_t, Asked> mAsked;
  /// Tenants to ask for, by owner; none for a contact alone.
  std::map<core::Incarnation, std::vector<std::string>> mDue;
};

} // namespace nutmegrock::quota
