#include "membership/Gossip.h"

#include "membership/Codec.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace nutmegrock::membership {

bool
Gossip::Item::operator<(const Item& aOther) const
{
  return mSends != aOther.mSends ? mSends < aOther.mSends
                                 : mOrder > aOther.mOrder;
}

std::uint32_t
Gossip::SendsFor(std::size_t aMembers)
{
  const auto members = static_cast<double>(std::max<std::size_t>(aMembers, 2));
  return static_cast<std::uint32_t>(std::ceil(3.0 * std::log2(members)));
}

void
Gossip::Add(core::Incarnation aIncarnation)
{
  Item& item = mItems[aIncarnation.mBits];
  mQueue.erase(item);
  item = { 0, ++mNextOrder, aIncarnation };
  mQueue.insert(item);
}

bool
Gossip::AddIfFits(Change aChange, Message& aMessage)
{
  auto& changes = aMessage.mChanges;
  const bool isIncluded =
    std::any_of(changes.begin(), changes.end(), [&](const Change& aOther) {
      return aOther.mMember->mIncarnation == aChange.mMember->mIncarnation;
    });
  if (isIncluded || changes.size() >= kMaxChanges ||
      MaxEncodedSize(aMessage) + MaxEncodedSize(aChange) > kMaxDatagram) {
    return false;
  }
  changes.push_back(std::move(aChange));
  return true;
}

void
Gossip::Fill(core::TimePoint aNow, const MemberTable& aTable, Message& aMessage)
{
  const std::uint32_t limit = SendsFor(aTable.Present().size() + 1);
  std::vector<Item> sent;
  // A change is skipped when the message already contains its member or has no
  // room for it. After kMaxChanges skips the message counts as full.
  std::size_t skipped = 0;
  for (auto next = mQueue.begin(); next != mQueue.end() &&
                                   aMessage.mChanges.size() < kMaxChanges &&
                                   skipped < kMaxChanges;) {
    const MemberTable::Entry* entry = aTable.Find(next->mIncarnation);
    if (entry == nullptr) {
      mItems.erase(next->mIncarnation.mBits);
      next = mQueue.erase(next);
    } else if (AddIfFits(MemberTable::ChangeOf(aNow, *entry), aMessage)) {
      sent.push_back(*next);
      next = mQueue.erase(next);
    } else {
      ++skipped;
      ++next;
    }
  }
  for (Item& item : sent) {
    if (++item.mSends >= limit) {
      mItems.erase(item.mIncarnation.mBits);
    } else {
      mItems[item.mIncarnation.mBits] = item;
      mQueue.insert(item);
    }
  }
}

} // namespace nutmegrock::membership
