#pragma once

#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/MemberTable.h"
#include "membership/Message.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <unordered_map>

namespace nutmegrock::membership {

/// Changes that still have to be passed on, piggybacked on the messages of the
/// failure detector (SWIM, Das et al. 2002, section 4.1). One change per
/// member: what is sent is the state of the table at that moment.
class Gossip
{
public:
  /// Most changes in one datagram.
  static constexpr std::size_t kMaxChanges = 6;

  /// Passes a member on from now, starting anew if it is queued already.
  void Add(core::Incarnation aIncarnation);
  /// Adds changes to a message up to kMaxChanges and the size of a datagram,
  /// those sent least often first, the latest of them first. Each is sent about
  /// 3 log2 of the members times. Members already in the message are left out.
  void Fill(core::TimePoint aNow, const MemberTable& aTable, Message& aMessage);

  /// Adds a change to a message unless it is full or holds the member already.
  static bool AddIfFits(Change aChange, Message& aMessage);

  /// Number of members being passed on.
  std::size_t Size() const { return mQueue.size(); }
  /// How often each change is sent among that many members.
  static std::uint32_t SendsFor(std::size_t aMembers);

private:
  struct Item
  {
    std::uint32_t mSends = 0;
    /// Rises with time; higher is later.
    std::uint64_t mOrder = 0;
    core::Incarnation mIncarnation;

    bool operator<(const Item& aOther) const;
  };

  std::set<Item> mQueue;
  std::unordered_map<std::uint64_t, Item> mItems;
  std::uint64_t mNextOrder = 0;
};

} // namespace nutmegrock::membership
