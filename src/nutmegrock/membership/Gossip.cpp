#include "membership/Gossip.h"

#include "membership/Codec.h"

#include <algorithm>
#include <cmath>
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

void
Gossip::Fill(core::TimePoint aNow, const MemberTable& aTable, Message& aMessage)
{
  if (mQueue.empty()) {
    return;
  }
  const auto has = [&](core::Incarnation aIncarnation) {
    return std::any_of(aMessage.mChanges.begin(),
                       aMessage.mChanges.end(),
                       [&](const Change& aChange) {
                         return aChange.mMember->mIncarnation == aIncarnation;
                       });
  };
  std::size_t size = SizeBound(aMessage);
  const std::uint32_t limit = SendsFor(aTable.Present().size() + 1);
  std::vector<Item> taken;
  for (auto next = mQueue.begin();
       next != mQueue.end() && aMessage.mChanges.size() < kMaxChanges;) {
    const MemberTable::Entry* entry = aTable.Find(next->mIncarnation);
    if (entry == nullptr) {
      mItems.erase(next->mIncarnation.mBits);
      next = mQueue.erase(next);
      continue;
    }
    if (has(next->mIncarnation)) {
      ++next;
      continue;
    }
    Change change = MemberTable::ChangeOf(aNow, *entry);
    size += SizeBound(change);
    if (size > kMaxDatagram) {
      break;
    }
    aMessage.mChanges.push_back(std::move(change));
    taken.push_back(*next);
    next = mQueue.erase(next);
  }
  for (Item& item : taken) {
    if (++item.mSends >= limit) {
      mItems.erase(item.mIncarnation.mBits);
    } else {
      mItems[item.mIncarnation.mBits] = item;
      mQueue.insert(item);
    }
  }
}

} // namespace nutmegrock::membership
