#pragma once

#include "core/Time.h"
#include "membership/Change.h"
#include "membership/Member.h"
#include "membership/MembershipSettings.h"
#include "membership/Random.h"

#include <array>
#include <cstdint>
#include <functional>
#include <limits>
#include <unordered_map>
#include <vector>

namespace nutmegrock::membership {

/// Effects of MemberTable::Merge().
struct MergeResult
{
  /// The member is new, or its record, liveness or refutation counter changed.
  bool mChanged = false;
  /// The content of the view changed.
  bool mViewChanged = false;
  /// The member was not present before and is now.
  bool mAppeared = false;
  /// Member that was declared dead because the merged one uses its address;
  /// unknown otherwise.
  core::Incarnation mReplaced;
};

/// All members that a node knows, and the rules by which changes are merged.
///
/// The record with the higher version of an incarnation wins. Of two liveness
/// values the one with the higher refutation counter wins, and at equal
/// counters the worse one. Both rules take the maximum of an order, so lost,
/// duplicated and reordered messages lead to the same table. A member is
/// identified by its incarnation: a new incarnation at the same address is a
/// new member, which replaces the old one.
class MemberTable
{
public:
  /// Number of buckets of the table, each compared separately with that of
  /// another table. 64 digests take 0.6 KB, and a bucket holds 60 of 3,800
  /// members.
  static constexpr std::size_t kBuckets = 64;
  using Digests = std::array<std::uint64_t, kBuckets>;

  struct Entry
  {
    MemberPtr mMember;
    std::uint64_t mRefutation = 0;
    /// When the member was declared dead or left.
    core::TimePoint mGoneSince;
    /// Member that accused it last, while it is suspected.
    core::Incarnation mAccuser;
    Liveness mLiveness = Liveness::Alive;
    /// Index in the list of present or of dead members.
    std::uint32_t mIndex = std::numeric_limits<std::uint32_t>::max();

    bool IsPresent() const { return mLiveness != Liveness::Dead && !HasLeft(); }
    bool HasLeft() const { return mMember->mState == MemberState::Left; }
  };

  MemberTable(Member aOwn, const MembershipSettings& aSettings);
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  /// Entry of this node; always alive.
  const Entry& Own() const { return *mOwn; }
  /// Replaces the record of this node; its version must be higher than the
  /// current one.
  void SetOwn(MemberPtr aMember);
  /// Raises the refutation counter of this node above aRefutation.
  void Refute(std::uint64_t aRefutation);

  /// Merges a change of another member; a change of this node has no effect.
  /// Does not allocate when nothing changes.
  MergeResult Merge(core::TimePoint aNow, const Change& aChange);
  /// Removes members that were dead or left for the retention time and returns
  /// those that were dead.
  std::vector<MemberPtr> Expire(core::TimePoint aNow);

  /// The entry of a member, or null.
  const Entry* Find(core::Incarnation aIncarnation) const;
  /// The change that describes an entry to other members.
  static Change ChangeOf(core::TimePoint aNow, const Entry& aEntry);
  /// The suspicion or death that this node recorded for a member, also if the
  /// member was removed already; a change with a null member if there is none.
  Change AccusationOf(core::TimePoint aNow,
                      core::Incarnation aIncarnation) const;
  /// True if the member left and was removed since.
  bool IsExpiredLeaver(core::Incarnation aIncarnation) const;

  /// The present member at an address, this node included; unknown if there is
  /// none.
  core::Incarnation MemberAt(const core::Address& aAddress) const;
  /// Other present members, in no particular order.
  const std::vector<core::Incarnation>& Present() const { return mPresent; }
  /// Other dead members that are not yet removed, in no particular order.
  const std::vector<core::Incarnation>& Dead() const { return mDead; }
  /// Returns up to aCount distinct random present members for which aAccepts
  /// returns true.
  std::vector<const Entry*> PickPresent(
    Random& aRandom,
    std::size_t aCount,
    const std::function<bool(const Entry&)>& aAccepts) const;
  /// Calls aVisit for each entry, that of this node included, in no particular
  /// order.
  void ForEach(const std::function<void(const Entry&)>& aVisit) const;
  /// Number of entries, that of this node included.
  std::size_t Size() const { return mEntries.size(); }

  static std::size_t BucketOf(core::Incarnation aIncarnation)
  {
    return aIncarnation.mBits % kBuckets;
  }
  /// Digest of each bucket. Equal tables have equal digests.
  const Digests& BucketDigests() const { return mDigests; }

private:
  struct Tombstone
  {
    core::TimePoint mUntil;
    std::uint64_t mRefutation = 0;
    bool mLeft = false;
  };

  MergeResult Insert(core::TimePoint aNow, const Change& aChange);
  bool MergeLiveness(core::TimePoint aNow,
                     const Change& aChange,
                     Entry& aEntry);
  bool IsBlockedByTombstone(const Change& aChange);
  void Index(Entry& aEntry);
  void Unindex(Entry& aEntry);

  core::Duration mDeadRetention;
  core::Duration mLeftRetention;
  core::Duration mTombstoneRetention;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  Entry* mOwn;
  std::vector<core::Incarnation> mPresent;
  std::vector<core::Incarnation> mDead;
  /// Latest present member by the hash of its address.
  std::unordered_map<std::uint64_t, core::Incarnation> mByAddress;
  std::unordered_map<std::uint64_t, Tombstone> mTombstones;
  Digests mDigests{};
};

} // namespace nutmegrock::membership
