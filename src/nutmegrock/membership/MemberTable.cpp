#include "membership/MemberTable.h"

#include "core/Hash.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegrock::membership {

namespace {

std::uint64_t
HashOfAddress(const core::Address& aAddress)
{
  return core::HashOf(aAddress.mIp, aAddress.mPort);
}

/// Excludes suspicion, which is short-lived and would make the digests differ
/// all the time.
std::uint64_t
DigestOf(const MemberTable::Entry& aEntry)
{
  std::array<std::uint64_t, 3> parts = { aEntry.mMember->mIncarnation.mBits,
                                         0,
                                         0 };
  if (!aEntry.HasLeft()) {
    const bool dead = aEntry.mLiveness == Liveness::Dead;
    parts[1] = aEntry.mMember->mVersion;
    parts[2] = aEntry.mRefutation * 2 + (dead ? 1 : 0) + 1;
  }
  return core::HashOf(
    { reinterpret_cast<const char*>(parts.data()), sizeof(parts) });
}

} // namespace

MemberTable::MemberTable(Member aOwn, const MembershipSettings& aSettings)
  : mDeadRetention(aSettings.mDeadRetention)
  , mLeftRetention(aSettings.mLeftRetention)
  , mTombstoneRetention(aSettings.mTombstoneRetention)
{
  Entry entry;
  entry.mMember = std::make_shared<const Member>(std::move(aOwn));
  const core::Incarnation own = entry.mMember->mIncarnation;
  mOwn = &mEntries.emplace(own.mBits, std::move(entry)).first->second;
  mDigests.at(BucketOf(own)) ^= DigestOf(*mOwn);
}

void
MemberTable::SetOwn(MemberPtr aMember)
{
  std::uint64_t& digest = mDigests.at(BucketOf(aMember->mIncarnation));
  digest ^= DigestOf(*mOwn);
  mOwn->mMember = std::move(aMember);
  digest ^= DigestOf(*mOwn);
}

void
MemberTable::Refute(std::uint64_t aRefutation)
{
  std::uint64_t& digest = mDigests.at(BucketOf(mOwn->mMember->mIncarnation));
  digest ^= DigestOf(*mOwn);
  mOwn->mRefutation = std::max(mOwn->mRefutation, aRefutation + 1);
  digest ^= DigestOf(*mOwn);
}

MergeResult
MemberTable::Merge(core::TimePoint aNow, const Change& aChange)
{
  const Member& record = *aChange.mMember;
  const auto found = mEntries.find(record.mIncarnation.mBits);
  if (found == mEntries.end()) {
    return IsBlockedByTombstone(aChange) ? MergeResult{}
                                         : Insert(aNow, aChange);
  }
  Entry& entry = found->second;
  MergeResult result;
  if (&entry == mOwn) {
    return result;
  }
  const bool wasPresent = entry.IsPresent();
  const bool hadLeft = entry.HasLeft();
  std::uint64_t& digest = mDigests.at(BucketOf(record.mIncarnation));
  digest ^= DigestOf(entry);
  // An incarnation keeps its address, so a record with another address is
  // invalid.
  const bool newer = record.mVersion > entry.mMember->mVersion &&
                     !entry.HasLeft() &&
                     record.mAddress == entry.mMember->mAddress;
  if (newer) {
    entry.mMember = aChange.mMember;
  }
  const bool livenessChanged = MergeLiveness(aNow, aChange, entry);
  digest ^= DigestOf(entry);
  const bool isPresent = entry.IsPresent();
  if (hadLeft != entry.HasLeft()) {
    entry.mGoneSince = aNow - aChange.mAge;
  }
  if (wasPresent != isPresent || hadLeft != entry.HasLeft()) {
    Unindex(entry);
    Index(entry);
  }
  result.mChanged = newer || livenessChanged;
  result.mViewChanged = wasPresent != isPresent || (newer && isPresent);
  result.mAppeared = isPresent && !wasPresent;
  return result;
}

bool
MemberTable::MergeLiveness(core::TimePoint aNow,
                           const Change& aChange,
                           Entry& aEntry)
{
  const auto known = std::pair(aEntry.mRefutation, aEntry.mLiveness);
  const auto received = std::pair(aChange.mRefutation, aChange.mLiveness);
  if (received == known && aChange.mLiveness == Liveness::Suspect) {
    aEntry.mAccuser = aChange.mAccuser;
  }
  if (received <= known) {
    return false;
  }
  if (aChange.mLiveness == Liveness::Dead) {
    aEntry.mGoneSince = aNow - aChange.mAge;
  }
  aEntry.mRefutation = aChange.mRefutation;
  aEntry.mLiveness = aChange.mLiveness;
  aEntry.mAccuser = aChange.mAccuser;
  return true;
}

MergeResult
MemberTable::Insert(core::TimePoint aNow, const Change& aChange)
{
  MergeResult result;
  const Member& record = *aChange.mMember;
  Entry entry;
  entry.mMember = aChange.mMember;
  entry.mRefutation = aChange.mRefutation;
  entry.mLiveness = aChange.mLiveness;
  entry.mAccuser = aChange.mAccuser;
  entry.mGoneSince = aNow - aChange.mAge;
  if (!entry.IsPresent()) {
    const auto retention = entry.HasLeft() ? mLeftRetention : mDeadRetention;
    if (aChange.mAge >= retention) {
      return result;
    }
  } else if (const auto current = MemberAt(record.mAddress);
             current.IsKnown()) {
    // The incarnation that joined last owns the address. An error due to a
    // wrong clock is corrected by the next probe, which shows the
    // incarnation that responds at the address.
    const Entry& other = *Find(current);
    if (&other == mOwn || other.mMember->mJoinedMs > record.mJoinedMs) {
      entry.mLiveness = Liveness::Dead;
    } else {
      result.mReplaced = current;
      Merge(aNow, { other.mMember, Liveness::Dead, other.mRefutation, {}, {} });
    }
  }
  const auto placed = mEntries.emplace(record.mIncarnation.mBits, entry);
  Entry& stored = placed.first->second;
  mDigests.at(BucketOf(record.mIncarnation)) ^= DigestOf(stored);
  Index(stored);
  result.mChanged = true;
  result.mAppeared = stored.IsPresent();
  result.mViewChanged = result.mAppeared || result.mReplaced.IsKnown();
  return result;
}

bool
MemberTable::IsBlockedByTombstone(const Change& aChange)
{
  const auto found = mTombstones.find(aChange.mMember->mIncarnation.mBits);
  if (found == mTombstones.end()) {
    return false;
  }
  // Only the member itself raises its refutation counter, so a higher counter
  // shows that it is alive.
  const bool returned = !found->second.mLeft && aChange.IsPresent() &&
                        aChange.mRefutation > found->second.mRefutation;
  if (returned) {
    mTombstones.erase(found);
  }
  return !returned;
}

std::vector<MemberPtr>
MemberTable::Expire(core::TimePoint aNow)
{
  std::erase_if(mTombstones,
                [&](const auto& aItem) { return aItem.second.mUntil <= aNow; });
  std::vector<MemberPtr> dead;
  for (auto next = mEntries.begin(); next != mEntries.end();) {
    Entry& entry = next->second;
    const auto retention = entry.HasLeft() ? mLeftRetention : mDeadRetention;
    if (&entry == mOwn || entry.IsPresent() ||
        aNow - entry.mGoneSince < retention) {
      ++next;
      continue;
    }
    if (!entry.HasLeft()) {
      dead.push_back(entry.mMember);
    }
    mTombstones[next->first] = { aNow + mTombstoneRetention,
                                 entry.mRefutation,
                                 entry.HasLeft() };
    mDigests.at(BucketOf(entry.mMember->mIncarnation)) ^= DigestOf(entry);
    Unindex(entry);
    next = mEntries.erase(next);
  }
  return dead;
}

const MemberTable::Entry*
MemberTable::Find(core::Incarnation aIncarnation) const
{
  const auto found = mEntries.find(aIncarnation.mBits);
  return found == mEntries.end() ? nullptr : &found->second;
}

Change
MemberTable::ChangeOf(core::TimePoint aNow, const Entry& aEntry)
{
  Change change{ aEntry.mMember, aEntry.mLiveness, aEntry.mRefutation, {}, {} };
  if (!aEntry.IsPresent()) {
    change.mAge = std::max(core::Duration{ 0 }, aNow - aEntry.mGoneSince);
  }
  if (aEntry.mLiveness == Liveness::Suspect) {
    change.mAccuser = aEntry.mAccuser;
  }
  return change;
}

Change
MemberTable::AccusationOf(core::TimePoint aNow,
                          core::Incarnation aIncarnation) const
{
  if (const Entry* entry = Find(aIncarnation)) {
    const bool accused =
      entry->mLiveness != Liveness::Alive && !entry->HasLeft();
    return accused ? ChangeOf(aNow, *entry) : Change{};
  }
  const auto tombstone = mTombstones.find(aIncarnation.mBits);
  if (tombstone == mTombstones.end() || tombstone->second.mLeft) {
    return {};
  }
  // The record was removed, but the accused member needs only its incarnation
  // and the counter.
  Member member;
  member.mIncarnation = aIncarnation;
  member.mAddress = mOwn->mMember->mAddress;
  return { std::make_shared<const Member>(std::move(member)),
           Liveness::Dead,
           tombstone->second.mRefutation,
           {},
           {} };
}

bool
MemberTable::IsExpiredLeaver(core::Incarnation aIncarnation) const
{
  const auto tombstone = mTombstones.find(aIncarnation.mBits);
  return tombstone != mTombstones.end() && tombstone->second.mLeft;
}

std::vector<const MemberTable::Entry*>
MemberTable::PickPresent(
  Random& aRandom,
  std::size_t aCount,
  const std::function<bool(const Entry&)>& aAccepts) const
{
  // Lists up to this size are shuffled; from longer ones members are drawn at
  // random.
  constexpr std::size_t kMaxShuffled = 64;
  std::vector<const Entry*> picked;
  const auto take = [&](core::Incarnation aIncarnation) {
    const Entry* entry = Find(aIncarnation);
    if (aAccepts(*entry) &&
        std::find(picked.begin(), picked.end(), entry) == picked.end()) {
      picked.push_back(entry);
    }
  };
  if (mPresent.size() <= kMaxShuffled) {
    std::vector<core::Incarnation> all = mPresent;
    std::shuffle(all.begin(), all.end(), aRandom);
    for (std::size_t i = 0; i < all.size() && picked.size() < aCount; ++i) {
      take(all[i]);
    }
    return picked;
  }
  for (std::size_t i = 0; i < 8 * aCount && picked.size() < aCount; ++i) {
    take(mPresent[aRandom.Below(mPresent.size())]);
  }
  return picked;
}

void
MemberTable::ForEach(const std::function<void(const Entry&)>& aVisit) const
{
  for (const auto& item : mEntries) {
    aVisit(item.second);
  }
}

core::Incarnation
MemberTable::MemberAt(const core::Address& aAddress) const
{
  if (mOwn->mMember->mAddress == aAddress) {
    return mOwn->mMember->mIncarnation;
  }
  const auto found = mByAddress.find(HashOfAddress(aAddress));
  if (found == mByAddress.end()) {
    return {};
  }
  const Entry* entry = Find(found->second);
  const bool is_current = entry != nullptr && entry->IsPresent() &&
                          entry->mMember->mAddress == aAddress;
  return is_current ? found->second : core::Incarnation{};
}

void
MemberTable::Index(Entry& aEntry)
{
  if (aEntry.HasLeft()) {
    return;
  }
  const core::Incarnation incarnation = aEntry.mMember->mIncarnation;
  auto& list = aEntry.IsPresent() ? mPresent : mDead;
  aEntry.mIndex = static_cast<std::uint32_t>(list.size());
  list.push_back(incarnation);
  if (aEntry.IsPresent()) {
    mByAddress[HashOfAddress(aEntry.mMember->mAddress)] = incarnation;
  }
}

void
MemberTable::Unindex(Entry& aEntry)
{
  constexpr auto kNone = std::numeric_limits<std::uint32_t>::max();
  const core::Incarnation incarnation = aEntry.mMember->mIncarnation;
  for (auto* list : { &mPresent, &mDead }) {
    if (aEntry.mIndex != kNone && aEntry.mIndex < list->size() &&
        (*list)[aEntry.mIndex] == incarnation) {
      (*list)[aEntry.mIndex] = list->back();
      mEntries.at(list->back().mBits).mIndex = aEntry.mIndex;
      list->pop_back();
      break;
    }
  }
  aEntry.mIndex = kNone;
  const auto indexed = mByAddress.find(HashOfAddress(aEntry.mMember->mAddress));
  if (indexed != mByAddress.end() && indexed->second == incarnation) {
    mByAddress.erase(indexed);
  }
}

} // namespace nutmegrock::membership
