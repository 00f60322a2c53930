#pragma once

#include "membership/Codec.h"
#include "membership/Membership.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace nutmegrock::membership {

/// Membership objects that exchange encoded messages directly, in simulated
/// time. Faults are injected by a link function and by switches of a node.
class Mesh
{
public:
  /// Delays after which a message arrives; none if it is lost, several if it is
  /// duplicated.
  using Link =
    std::function<std::vector<core::Duration>(std::size_t, std::size_t)>;

  struct Node
  {
    std::unique_ptr<Membership> mMembership;
    core::Address mAddress;
    bool mRunning = true;
    bool mPaused = false;
    std::uint64_t mProfileVersion = 0;
    std::uint64_t mBytes = 0;
    std::uint64_t mDatagrams = 0;
    std::uint64_t mMaxDatagramBytes = 0;
    std::uint64_t mControlBytes = 0;
    std::vector<NewerVersion> mNewer;
    std::set<core::Incarnation> mRowsToRemove;
    std::vector<std::pair<std::size_t, Message>> mBacklog;
  };

  explicit Mesh(std::uint64_t aSeed, MembershipSettings aSettings = {})
    : mRandom(aSeed)
    , mSettings(aSettings)
  {
  }

  /// Adds a node with aSeed, an earlier node or itself, as its seed.
  std::size_t Add(std::size_t aSeed,
                  const std::string& aService = "tracker",
                  const std::string& aRegion = "khomas")
  {
    const std::size_t index = mNodes.size();
    return AddAt(AddressOf(index), aSeed, aService, aRegion);
  }

  std::size_t AddAt(const core::Address& aAddress,
                    std::size_t aSeed,
                    const std::string& aService = "tracker",
                    const std::string& aRegion = "khomas")
  {
    const std::size_t index = mNodes.size();
    Member own;
    own.mIncarnation = { mRandom() | 1U };
    own.mAddress = aAddress;
    own.mService = aService;
    own.mRegion = aRegion;
    own.mAvailabilityZone = aRegion + "-a";
    own.mSlots = 130;
    own.mConnections = 850;
    own.mState = MemberState::Serving;
    own.mJoinedMs = (mWallClock + mElapsed) / std::chrono::milliseconds(1);
    auto node = std::make_unique<Node>();
    node->mAddress = aAddress;
    Node* raw = node.get();
    node->mMembership = std::make_unique<Membership>(
      mSettings, own, [raw] { return raw->mProfileVersion; }, mRandom());
    mByAddress[aAddress.ToString()] = index;
    mNodes.push_back(std::move(node));
    if (aSeed != index && mKeepSeeds) {
      Of(index).AddSeeds({ At(aSeed).mAddress });
    } else if (aSeed != index) {
      Perform(index, Of(index).PingAddresses(Now(), { At(aSeed).mAddress }));
    }
    return index;
  }

  /// Adds aCount nodes with the first node as seed.
  void AddMany(std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      Add(0);
    }
  }

  static core::Address AddressOf(std::size_t aIndex)
  {
    return { "10.0." + std::to_string(aIndex / 250) + "." +
               std::to_string(aIndex % 250 + 1),
             7002 };
  }

  Node& At(std::size_t aIndex) { return *mNodes.at(aIndex); }
  Membership& Of(std::size_t aIndex) { return *At(aIndex).mMembership; }
  core::Incarnation IdOf(std::size_t aIndex)
  {
    return Of(aIndex).Own()->mIncarnation;
  }
  std::size_t Size() const { return mNodes.size(); }
  core::TimePoint Now() const { return core::TimePoint{ mElapsed }; }

  /// True if aNode has aOther in its view.
  bool Sees(std::size_t aNode, std::size_t aOther)
  {
    return Of(aNode).View()->Find(IdOf(aOther)) != nullptr;
  }
  /// Number of other running nodes that have aOther in their view.
  std::size_t NodesSeeing(std::size_t aOther)
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < Size(); ++i) {
      count += At(i).mRunning && i != aOther && Sees(i, aOther) ? 1 : 0;
    }
    return count;
  }
  /// True if the view of each running node consists of exactly the running
  /// nodes.
  bool AllAgree()
  {
    std::size_t running = 0;
    for (const auto& node : mNodes) {
      running += node->mRunning ? 1 : 0;
    }
    for (const auto& node : mNodes) {
      if (!node->mRunning) {
        continue;
      }
      const auto view = node->mMembership->View();
      if (view->Alive() != running) {
        return false;
      }
      for (const auto& other : mNodes) {
        const auto id = other->mMembership->Own()->mIncarnation;
        if (other->mRunning && view->Find(id) == nullptr) {
          return false;
        }
      }
    }
    return true;
  }
  /// True if no node has pending gossip.
  bool IsQuiet() const
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [](const auto& aNode) {
      return aNode->mMembership->PendingGossip() == 0;
    });
  }
  std::uint64_t DeclaredDead()
  {
    std::uint64_t count = 0;
    for (const auto& node : mNodes) {
      count += node->mMembership->Counts().mDeclaredDead;
    }
    return count;
  }

  /// Runs ticks and deliveries for aTime.
  void Advance(core::Duration aTime)
  {
    const core::Duration end = mElapsed + aTime;
    while (mElapsed < end) {
      const core::Duration tick = mElapsed + kTick;
      while (!mQueue.empty() && mQueue.begin()->first <= tick) {
        const auto event = std::move(mQueue.extract(mQueue.begin()));
        mElapsed = event.key();
        event.mapped()();
      }
      mElapsed = tick;
      for (std::size_t i = 0; i < Size(); ++i) {
        Node& node = At(i);
        if (node.mRunning && !node.mPaused) {
          Perform(i, node.mMembership->Tick(Now()));
        }
      }
    }
  }
  /// Advances until the condition holds, for at most about aLimit. Returns the
  /// elapsed time.
  core::Duration AdvanceUntil(const std::function<bool()>& aCondition,
                              core::Duration aLimit)
  {
    const core::Duration start = mElapsed;
    while (mElapsed - start < aLimit && !aCondition()) {
      Advance(mSettings.mPeriod);
    }
    return mElapsed - start;
  }

  void Kill(std::size_t aIndex) { At(aIndex).mRunning = false; }
  void Pause(std::size_t aIndex) { At(aIndex).mPaused = true; }
  /// Delivers what arrived during the pause, as a socket buffer does.
  void Resume(std::size_t aIndex)
  {
    Node& node = At(aIndex);
    node.mPaused = false;
    const auto backlog = std::exchange(node.mBacklog, {});
    for (const auto& [from, message] : backlog) {
      Deliver(from, aIndex, message);
    }
  }
  void Leave(std::size_t aIndex)
  {
    for (int round = 0; round < 3; ++round) {
      Perform(aIndex, Of(aIndex).Leave(Now()));
      Advance(std::chrono::milliseconds(100));
    }
    Kill(aIndex);
  }

  void Perform(std::size_t aFrom, const Actions& aActions)
  {
    for (const Outgoing& outgoing : aActions.mDatagrams) {
      Transmit(aFrom, outgoing);
    }
    for (const ControlRequest& request : aActions.mRequests) {
      Control(aFrom, request);
    }
    Node& node = At(aFrom);
    node.mNewer.insert(node.mNewer.end(),
                       aActions.mNewerVersions.begin(),
                       aActions.mNewerVersions.end());
    for (const MemberPtr& member : aActions.mRowsToRemove) {
      node.mRowsToRemove.insert(member->mIncarnation);
    }
  }

  /// True if nodes ping their seed repeatedly, false if only when they start.
  bool mKeepSeeds = true;
  /// Wall-clock time at the start, since the Unix epoch.
  core::Duration mWallClock = std::chrono::hours(480'000);
  static constexpr core::Duration kTick = std::chrono::milliseconds(100);
  Link mLink = [](std::size_t, std::size_t) {
    return std::vector<core::Duration>{ std::chrono::milliseconds(2) };
  };

private:
  void Transmit(std::size_t aFrom, const Outgoing& aOutgoing)
  {
    const std::string bytes = Encode(aOutgoing.mMessage);
    Node& node = At(aFrom);
    node.mBytes += bytes.size();
    node.mDatagrams += 1;
    node.mMaxDatagramBytes =
      std::max<std::uint64_t>(node.mMaxDatagramBytes, bytes.size());
    const auto found = mByAddress.find(aOutgoing.mTo.ToString());
    if (found == mByAddress.end()) {
      return;
    }
    const std::size_t to = found->second;
    for (const core::Duration delay : mLink(aFrom, to)) {
      mQueue.emplace(mElapsed + delay, [this, aFrom, to, bytes] {
        const auto message = Decode(bytes);
        if (message) {
          Deliver(aFrom, to, *message);
        }
      });
    }
  }

  void Deliver(std::size_t aFrom, std::size_t aTo, const Message& aMessage)
  {
    Node& node = At(aTo);
    if (node.mPaused) {
      node.mBacklog.emplace_back(aFrom, aMessage);
    } else if (node.mRunning) {
      Perform(aTo,
              node.mMembership->Handle(Now(), At(aFrom).mAddress, aMessage));
    }
  }

  void Control(std::size_t aFrom, const ControlRequest& aRequest)
  {
    const auto found = mByAddress.find(aRequest.mTo.ToString());
    core::Expected<std::string> answer =
      core::Fail(core::ErrorKind::PeerUnreachable, "no node");
    if (found != mByAddress.end() && !mLink(aFrom, found->second).empty() &&
        At(found->second).mRunning && !At(found->second).mPaused) {
      answer = Of(found->second)
                 .HandleControl(Now(), aRequest.mMethod, aRequest.mArgument);
      const std::uint64_t bytes =
        aRequest.mArgument.size() + (answer ? answer->size() : 0);
      At(aFrom).mControlBytes += bytes;
    }
    mQueue.emplace(mElapsed + std::chrono::milliseconds(5),
                   [this, aFrom, id = aRequest.mId, answer] {
                     if (At(aFrom).mRunning) {
                       Perform(aFrom,
                               Of(aFrom).HandleResponse(Now(), id, answer));
                     }
                   });
  }

  Random mRandom;
  MembershipSettings mSettings;
  core::Duration mElapsed = std::chrono::hours(1);
  std::vector<std::unique_ptr<Node>> mNodes;
  std::unordered_map<std::string, std::size_t> mByAddress;
  std::multimap<core::Duration, std::function<void()>> mQueue;
};

} // namespace nutmegrock::membership
