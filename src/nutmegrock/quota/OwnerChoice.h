#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>
#include <vector>

namespace nutmegrock::quota {

/// A member that may own tenants.
struct OwnerCandidate
{
  core::Incarnation mIncarnation;
  /// See membership::Member.
  std::int64_t mJoinedMs = 0;

  bool operator==(const OwnerCandidate&) const = default;
};

/// The members that one node sees.
struct OwnerView
{
  /// Members that are alive and not leaving.
  std::vector<OwnerCandidate> mCandidates;
  /// Number of members that are alive.
  std::size_t mAlive = 0;
};

/// Chooses the owner of each tenant by rendezvous hashing among the members
/// that joined first. Joining and restarted nodes do not change owners that way
/// while there are more than kMaxOwners members.
class OwnerChoice
{
public:
  /// Maximum number of members that own tenants. Bounds the number of messages
  /// of a node, which combines the tenants of an owner.
  static constexpr std::size_t kMaxOwners = 16;
  /// Period whose largest number of members counts as the size of the mesh.
  static constexpr std::chrono::seconds kSizePeriod{ 60 };

  void SetView(core::TimePoint aNow, OwnerView aView);
  /// A member is known to leave before the view shows it.
  void AddLeaving(core::Incarnation aMember);
  const std::vector<core::Incarnation>& Leaving() const { return mLeaving; }

  /// The owner of a tenant; not known if there are no candidates.
  core::Incarnation OwnerOf(std::string_view aTenant) const;
  /// The owner of a tenant if aMember were not there.
  core::Incarnation OwnerWithout(std::string_view aTenant,
                                 core::Incarnation aMember) const;
  /// The members that may own tenants.
  const std::vector<core::Incarnation>& Owners() const { return mOwners; }
  /// The owner of a tenant among members.
  static core::Incarnation OwnerAmong(
    const std::vector<core::Incarnation>& aOwners,
    std::string_view aTenant);
  bool IsCandidate(core::Incarnation aMember) const;
  /// Time at which a candidate joined; 0 if unknown.
  std::int64_t JoinedMs(core::Incarnation aMember) const;
  /// Number of members that are alive.
  std::size_t Alive() const { return mView.mAlive; }
  /// Largest number of members that were alive in the last minute; at least 1.
  std::size_t Largest(core::TimePoint aNow) const;
  /// True if fewer than half of the members of the last minute are alive. Such
  /// a node is probably cut off.
  bool IsMinority(core::TimePoint aNow) const;

private:
  void Choose();

  OwnerView mView;
  std::vector<core::Incarnation> mLeaving;
  std::vector<core::Incarnation> mOwners;
  /// Numbers of members, each with the time until which it was current, in
  /// decreasing order.
  std::deque<std::pair<core::TimePoint, std::size_t>> mSizes;
};

} // namespace nutmegrock::quota
