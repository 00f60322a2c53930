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

/// What MemberTable::Merge() changed.
struct MergeResult
{
  /// The member is new, or its record, liveness or refutation counter changed.
  bool mChanged = false;
  /// Content of the view changed.
  bool mViewChanged = false;
  /// A member that was not present is present now.
  bool mAppeared = false;
  /// Member that was declared dead because its address is in use by the merged
  /// one; unknown otherwise.
  core::Incarnation mReplaced;
};

/// All members one node knows, and the rules by which knowledge is merged.
///
/// The higher record version of an incarnation wins. Of two findings about its
/// liveness the one with the higher refutation counter wins, and at the same
/// counter the worse one. Both rules are the maximum of an order, so lost,
/// duplicated and reordered messages lead to the same table. Identity is the
/// incarnation: a reused address is a new member, which replaces the old one.
class MemberTable
{
public:
  /// Number of parts of the table that are compared with another table on their
  /// own. 64 digests are 0.6 KB, and one part holds 60 of 3,800 members.
  static constexpr std::size_t kBuckets = 64;
  using Digests = std::array<std::uint64_t, kBuckets>;

  struct Entry
  {
    MemberPtr mMember;
    std::uint64_t mRefutation = 0;
    /// When the member was found dead or had left.
    core::TimePoint mGoneSince;
    /// Who accused it last while it is suspected.
    core::Incarnation mAccuser;
    Liveness mLiveness = Liveness::Alive;
    /// Position in the list of present or of dead members.
    std::uint32_t mIndex = std::numeric_limits<std::uint32_t>::max();

    bool IsPresent() const { return mLiveness != Liveness::Dead && !HasLeft(); }
    bool HasLeft() const { return mMember->mState == MemberState::Left; }
  };

  MemberTable(Member aOwn, const MembershipSettings& aSettings);
  MemberTable(const MemberTable&) = delete;
  MemberTable& operator=(const MemberTable&) = delete;

  /// Entry of the own node; always alive.
  const Entry& Own() const { return *mOwn; }
  /// Replaces the own record; the version must be above the present one.
  void SetOwn(MemberPtr aMember);
  /// Raises the own refutation counter above aRefutation.
  void Refute(std::uint64_t aRefutation);

  /// Takes in knowledge about another member; knowledge about the own node has
  /// no effect. Does not allocate when nothing changes.
  MergeResult Merge(core::TimePoint aNow, const Change& aChange);
  /// Drops members that have been gone for the retention time and returns those
  /// that were dead, not left.
  std::vector<MemberPtr> Expire(core::TimePoint aNow);

  /// The entry of a member, or null.
  const Entry* Find(core::Incarnation aIncarnation) const;
  /// What to tell others about an entry.
  static Change ChangeOf(core::TimePoint aNow, const Entry& aEntry);
  /// What this node holds against a member that is not alive here, also when it
  /// was dropped already; a null member when it holds nothing.
  Change AccusationOf(core::TimePoint aNow,
                      core::Incarnation aIncarnation) const;
  /// Whether the member was dropped after it had left.
  bool IsForgottenLeaver(core::Incarnation aIncarnation) const;

  /// The present member at an address, the own node included; unknown when
  /// there is none.
  core::Incarnation HolderOf(const core::Address& aAddress) const;
  /// Other members that are present, in no order.
  const std::vector<core::Incarnation>& Present() const { return mPresent; }
  /// Other members found dead and not yet dropped, in no order.
  const std::vector<core::Incarnation>& Dead() const { return mDead; }
  /// At most aCount different random present members that aAccepts accepts.
  std::vector<const Entry*> PickPresent(
    Random& aRandom,
    std::size_t aCount,
    const std::function<bool(const Entry&)>& aAccepts) const;
  /// Calls aVisit for each entry, the own one included, in no order.
  void ForEach(const std::function<void(const Entry&)>& aVisit) const;
  /// Number of entries, the own one included.
  std::size_t Size() const { return mEntries.size(); }

  static std::size_t BucketOf(core::Incarnation aIncarnation)
  {
    return aIncarnation.mBits % kBuckets;
  }
  /// Digest of each bucket; equal tables have equal digests.
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
  bool IsBuried(const Change& aChange);
  void Index(Entry& aEntry);
  void Unindex(Entry& aEntry);

  core::Duration mDeadRetention;
  core::Duration mLeftRetention;
  core::Duration mTombstoneRetention;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  Entry* mOwn;
  std::vector<core::Incarnation> mPresent;
  std::vector<core::Incarnation> mDead;
  /// Latest present member by hash of its address.
  std::unordered_map<std::uint64_t, core::Incarnation> mHolders;
  std::unordered_map<std::uint64_t, Tombstone> mTombstones;
  Digests mDigests{};
};

} // namespace nutmegrock::membership
