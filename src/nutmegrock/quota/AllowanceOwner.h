#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "quota/OwnerChoice.h"
#include "quota/TakeMessage.h"
#include "quota/TokenBucket.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegrock::quota {

/// Limit of a tenant over all nodes.
struct TenantLimit
{
  std::string mTenant;
  double mRatePerSecond = 0;
  double mBurst = 0;

  bool operator==(const TenantLimit&) const = default;
};

/// Interval at which a node with demand contacts an owner at least. It grows
/// with the number of members, so that an owner gets at most 1,000 contacts a
/// second.
constexpr std::chrono::milliseconds
ContactInterval(std::size_t aMembers)
{
  return std::max(std::chrono::milliseconds(1'000),
                  std::chrono::milliseconds(aMembers));
}

/// A node that has not been in contact with the owner for this time may use its
/// fallback bucket, and the owner withholds the rate of that bucket. Longer
/// than the interval of contacts and a response.
constexpr std::chrono::milliseconds
SilenceTime(std::size_t aMembers)
{
  return ContactInterval(aMembers) * 3 / 2;
}

/// Shares of the rate that fallback buckets of all nodes have together: one by
/// recent grants, one in equal parts.
constexpr double kShareByGrants = 0.5;
constexpr double kShareInEqualParts = 0.5;

/// Rate of the fallback bucket of a node, as a part of the tenant's rate.
constexpr double
FallbackShare(double aShareOfGrants, std::size_t aMembers)
{
  return kShareByGrants * aShareOfGrants +
         kShareInEqualParts / static_cast<double>(aMembers);
}

/// Grants tokens for the tenants that this node owns.
///
/// The sum that all nodes execute stays within the limit because
/// - a bucket starts empty when the ownership begins;
/// - a node that takes a tenant from a member which is still alive waits until
///   that member has ceded it, or must have noticed;
/// - an owner that has been cut off starts again with empty buckets;
/// - the rate is reduced by the fallback rates of the nodes that may be using
///   them: those that have gone silent, and, after a change of owner, those
///   that may not know this node as the owner yet.
class AllowanceOwner
{
public:
  /// @param aNow the start of the node; ownerships that begin with it count
  /// from that time
  AllowanceOwner(core::TimePoint aNow, core::Incarnation aSelf);

  void SetLimits(core::TimePoint aNow, const std::vector<TenantLimit>& aLimits);
  /// The members have changed.
  /// @param aJoined false as long as this node has not found the others
  void OnView(core::TimePoint aNow, const OwnerChoice& aChoice, bool aJoined);
  /// A node has ended for certain, for example because another one uses its
  /// address.
  void Forget(core::Incarnation aNode) { mNodes.erase(aNode.mBits); }
  /// This node stops.
  void StartLeaving() { mLeaving = true; }

  /// Handles the request of a node.
  TakeResponse Take(core::TimePoint aNow,
                    core::Incarnation aFrom,
                    const TakeRequest& aRequest);
  /// Members that this node takes tenants from, and which have to cede them
  /// first. Each is named every kCedeInterval until it has.
  std::vector<core::Incarnation> NextCedeRequests(core::TimePoint aNow);
  /// A member has ceded its tenants.
  void OnCeded(core::TimePoint aNow, core::Incarnation aMember);
  /// Stops granting for the tenants that another member owns among aOwners.
  void Cede(core::TimePoint aNow,
            core::Incarnation aTo,
            std::vector<core::Incarnation> aOwners);
  /// Number of tenants with a limit that this node owns.
  std::size_t Owned() const;

private:
  struct Node
  {
    core::TimePoint mHeardAt;
    TakeState mState = TakeState::Normal;
  };

  /// Decaying number of grants.
  struct RecentGrants
  {
    double mCount = 0;
    core::TimePoint mAt;
    /// Share of a node's grants that it was told last, and uses when it is cut
    /// off.
    double mToldShare = 0;

    void Add(core::TimePoint aNow, double aCount);
    double At(core::TimePoint aNow) const;
  };

  /// Tenants that another member took before this node has noticed.
  struct Ceded
  {
    core::Incarnation mTo;
    std::vector<core::Incarnation> mOwners;
    core::TimePoint mUntil;
  };

  struct Tenant
  {
    double mRate = 0;
    double mBurst = 0;
    /// The tenant has been in the limits since the first ones.
    bool mInitial = false;
    bool mIsOwned = false;
    core::TimePoint mOwnedSince;
    /// Another member was the owner before, and some nodes may not know this
    /// one yet.
    bool mTakenOver = false;
    /// Member that has to cede the tenant.
    core::Incarnation mCedeFrom;
    std::optional<TokenBucket> mBucket;
    core::TimePoint mWithheldAt;
    RecentGrants mGrants;
    std::unordered_map<std::uint64_t, RecentGrants> mByNode;
  };

  void UpdateOwnership(core::TimePoint aNow,
                       std::string_view aName,
                       Tenant& aTenant,
                       const OwnerChoice& aChoice) const;
  /// Returns true if the owner without this node is a member that has run for
  /// longer, and may go on granting until it has noticed this node.
  bool TakesFromRunning(std::string_view aName,
                        const OwnerChoice& aChoice,
                        core::Incarnation aPrevious) const;
  bool IsActing(core::TimePoint aNow,
                std::string_view aName,
                const Tenant& aTenant) const;
  bool IsCeded(core::TimePoint aNow, std::string_view aName) const;
  static void StartBucket(core::TimePoint aStart, Tenant& aTenant);
  /// Detects that this node has been cut off from most others.
  void CheckIsolation(core::TimePoint aNow);
  TakeGrant Grant(core::TimePoint aNow,
                  core::Incarnation aFrom,
                  const TakeItem& aItem);
  /// Reduces the rate by what nodes may use without asking.
  void WithholdFallback(core::TimePoint aNow, Tenant& aTenant) const;
  double WithheldShare(core::TimePoint aNow, const Tenant& aTenant) const;
  /// Returns true if the node may be using its fallback buckets.
  static bool IsSilent(core::TimePoint aNow,
                       core::Duration aSilenceTime,
                       const Node& aNode);
  void ForgetNodes(core::TimePoint aNow);

  const core::TimePoint mStarted;
  const core::Incarnation mSelf;
  bool mLeaving = false;
  bool mHasLimits = false;
  std::optional<core::TimePoint> mJoinedAt;
  /// Empty until the first view.
  std::optional<OwnerChoice> mChoice;
  std::map<std::string, Tenant, std::less<>> mTenants;
  /// Nodes heard in the last minute.
  std::unordered_map<std::uint64_t, Node> mNodes;
  core::TimePoint mForgottenAt;
  core::TimePoint mIsolationCheckedAt;
  std::vector<Ceded> mCeded;
  core::TimePoint mCedeRequestsAt;
  bool mIsIsolated = false;
};

} // namespace nutmegrock::quota
