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

/// Queue of changes to disseminate, piggybacked on the messages of the failure
/// detector (SWIM, Das et al. 2002, section 4.1). Holds one entry per member;
/// what is sent is the state in the table at the time of sending.
class Gossip
{
public:
  /// Maximum number of changes in one datagram.
  static constexpr std::size_t kMaxChanges = 6;

  /// Queues a member; its send count starts again if it is queued already.
  void Add(core::Incarnation aIncarnation);
  /// Adds changes to a message up to kMaxChanges and the maximum datagram size:
  /// those with the fewest sends first, among these the latest first. Each is
  /// sent about 3 log2(members) times. Members already in the message are left
  /// out.
  void Fill(core::TimePoint aNow, const MemberTable& aTable, Message& aMessage);

  /// Adds a change to a message. Returns false if the message is full or
  /// already contains the member.
  static bool AddIfFits(Change aChange, Message& aMessage);

  /// Number of queued members.
  std::size_t Size() const { return mQueue.size(); }
  /// Number of times each change is sent in a mesh of aMembers members.
  static std::uint32_t SendsFor(std::size_t aMembers);

private:
  struct Item
  {
    std::uint32_t mSends = 0;
    /// Increases with each Add(); higher is later.
    std::uint64_t mOrder = 0;
    core::Incarnation mIncarnation;

    bool operator<(const Item& aOther) const;
  };

  std::set<Item> mQueue;
  std::unordered_map<std::uint64_t, Item> mItems;
  std::uint64_t mNextOrder = 0;
};

} // namespace nutmegrock::membership
