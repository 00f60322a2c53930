#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"
#include "routes/ActiveRoutes.h"
#include "routes/RouteStore.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

namespace nutmegrock::routes {

/// Keeps the routes in force up to date: watches the store on its own thread
/// and pulls newer routes from other nodes, so that a node that cannot reach
/// the store follows the others.
class RouteSync
{
public:
  using PullCallback = std::function<void(core::Expected<std::string>)>;

  struct Hooks
  {
    /// Requests the document of the node at a peer address with kMethod. The
    /// callback may run on any thread, also after this object is destroyed.
    std::function<void(const core::Address&, PullCallback)> mPull;
    /// Logs one line for each state change.
    std::function<void(const std::string&)> mLog;
    /// Called on the watch's thread when the store answers for the first time
    /// or again after a failure; may be empty.
    std::function<void()> mOnStoreRegained = {};
    /// Called on the watch's thread when the store's history has become shorter
    /// than this node knew it: the store lost what was written last. May be
    /// empty.
    std::function<void()> mOnStoreRolledBack = {};
  };

  /// How far this node follows the operator.
  struct Progress
  {
    /// Version in force; 0 for none.
    std::uint64_t mVersion = 0;
    /// Highest version that any other node has named; 0 for none.
    std::uint64_t mHeardVersion = 0;
    /// Requests for the routes of other nodes that failed.
    std::uint64_t mFailedPulls = 0;
    /// Time since the store last answered this node; since the start if it has
    /// not.
    std::chrono::milliseconds mAge{ 0 };

    bool operator==(const Progress&) const = default;
  };

  /// Control request handled by HandlePull().
  static constexpr const char* kMethod = "routes.pull";

  /// Instead of this many waits the whole document is read. A store that lost
  /// writes may answer waits after a later position as if nothing had happened;
  /// this takes 5% more calls.
  static constexpr int kWaitsPerRead = 20;

  /// aActiveRoutes must outlive this object.
  RouteSync(std::shared_ptr<RouteStore> aStore,
            RouteDecoder aDecoder,
            ActiveRoutes& aActiveRoutes,
            Hooks aHooks,
            int aWaitsPerRead = kWaitsPerRead);
  RouteSync(const RouteSync&) = delete;
  RouteSync& operator=(const RouteSync&) = delete;
  /// Waits for a store call in progress.
  ~RouteSync();

  /// Reads from the store immediately.
  void Start();
  /// Reads the whole document next, at the latest when the present wait at the
  /// store ends; call it when the store has another address.
  void Restart();
  /// Sets the rank of this node among all members, which decides how long its
  /// next watch waits at the store; see WatchWait().
  void SetRank(std::size_t aRank) { mRank = aRank; }
  /// Reports that a node has this version in force. Does not block; cheap
  /// unless the version is higher than this node's.
  void OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion);
  /// The document in force. Fails with NoProfiles.
  core::Expected<std::string> HandlePull() const;
  Progress ProgressAt(core::TimePoint aNow) const;
  /// True if the last call to the store succeeded.
  bool IsStoreReachable() const { return mStoreReachable; }

private:
  struct Shared;

  /// Rank until the members are known, so that many nodes that start together
  /// do not all watch like the first.
  static constexpr std::size_t kInitialRank = 2;

  void Run();
  /// Returns false when the store failed.
  bool RunOnce();
  /// Handles a response, whose position in the store's history is mCursor of
  /// aStored. aWatched is false for a read of the whole document.
  void OnStored(const StoredRoutes& aStored, bool aWatched);
  void Pause(std::chrono::milliseconds aTime);
  /// A random time in this range.
  std::chrono::milliseconds Between(std::chrono::milliseconds aLeast,
                                    std::chrono::milliseconds aMost);

  const std::shared_ptr<RouteStore> mStore;
  const Hooks mHooks;
  const int mWaitsPerRead;
  /// Kept alive by pull callbacks that run after this object is destroyed.
  std::shared_ptr<Shared> mShared;
  /// Used only by the thread. 0: read the whole document next.
  std::uint64_t mCursor = 0;
  /// Time of the last read of the whole document; used only by the thread.
  core::TimePoint mLastRead;
  /// Last known position in the store's history, also while mCursor is 0; 0 for
  /// none. Used only by the thread.
  std::uint64_t mKnownCursor = 0;
  /// True from a lost history to the next successful wait; used only by the
  /// thread.
  bool mHistoryGone = false;
  std::mt19937_64 mRandom{ std::random_device{}() };
  std::atomic<core::TimePoint> mAnsweredAt{ core::Clock::now() };
  std::atomic<bool> mStoreReachable{ false };
  std::atomic<std::size_t> mRank{ kInitialRank };
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mRestart = false;
  std::thread mThread;
};

} // namespace nutmegrock::routes
