#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "core/Time.h"
#include "routes/ActiveRoutes.h"
#include "routes/Freshness.h"
#include "routes/RouteStore.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace nutmegrock::routes {

/// Keeps the routes in force up to date in three ways: watches the store on its
/// own thread, reads the store on another thread when nothing else has
/// confirmed for a while that the routes in force are the newest, and pulls
/// newer routes from other nodes, so that a node that cannot reach the store
/// follows the others.
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
    /// Called on the thread of a store call when the store's history has become
    /// shorter than this node knew it: the store lost what was written last.
    /// May be empty.
    std::function<void()> mOnStoreRolledBack = {};
    /// Called on any thread when other nodes are to be told how old the routes
    /// in force are. May be empty.
    std::function<void()> mOnConfirmed = {};
  };

  struct Settings
  {
    /// Maximum time for which a watch waits at the store. With 3,800 nodes
    /// watches take 170 calls a second.
    std::chrono::milliseconds mMaxWait{ 25'000 };
    /// Instead of this many waits the whole document is read. A store that lost
    /// writes may answer waits after a later position as if nothing had
    /// happened; this takes 5% more calls.
    int mWaitsPerRead = 20;
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
    /// Time since the routes in force were known to be the newest of the store;
    /// since the start if they have not been.
    std::chrono::milliseconds mAge{ 0 };

    bool operator==(const Progress&) const = default;
  };

  /// Control request handled by HandlePull().
  static constexpr const char* kMethod = "routes.pull";

  /// aActiveRoutes must outlive this object.
  RouteSync(std::shared_ptr<RouteStore> aStore,
            RouteDecoder aDecoder,
            ActiveRoutes& aActiveRoutes,
            Hooks aHooks,
            Settings aSettings);
  /// With the default settings.
  RouteSync(std::shared_ptr<RouteStore> aStore,
            RouteDecoder aDecoder,
            ActiveRoutes& aActiveRoutes,
            Hooks aHooks);
  RouteSync(const RouteSync&) = delete;
  RouteSync& operator=(const RouteSync&) = delete;
  /// Waits for a store call in progress.
  ~RouteSync();

  /// Reads from the store immediately.
  void Start();
  /// Reads the whole document next, at the latest when the present wait at the
  /// store ends; call it when the store has another address.
  void Restart();
  /// Sets the number of nodes that use the store, this one included.
  void SetNodes(std::size_t aNodes);
  /// Takes the confirmation of another node. Does not block.
  void OnConfirmed(const Confirmation& aHeard);
  /// Reports that a node has this version in force. Does not block; cheap
  /// unless the version is higher than this node's.
  void OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion);
  /// The document in force. Fails with NoProfiles.
  core::Expected<std::string> HandlePull() const;
  Progress ProgressAt(core::TimePoint aNow) const;
  /// When the routes in force were last known to be the newest of the store;
  /// nullopt if there are none, or it is not known.
  std::optional<Confirmation> LastConfirmation() const;
  /// True if the last call to the store succeeded.
  bool IsStoreReachable() const { return mStoreReachable; }

private:
  struct Shared;

  void Run();
  /// Returns false when the store failed.
  bool RunOnce();
  /// Handles a response, whose position in the store's history is mCursor of
  /// aStored. aWatched is false for a read of the whole document.
  void OnStored(const StoredRoutes& aStored,
                bool aWatched,
                std::uint64_t aKnown);
  std::uint64_t KnownCursor() const;
  /// Compares the position of a response with aKnown, the one that was known
  /// when the call was sent. Returns true if the store was rolled back.
  bool CheckRollback(std::uint64_t aKnown, std::uint64_t aCursor);
  /// Reads the store whenever the routes in force are unconfirmed for too long.
  void RunReads();
  void ReadOnce();
  void OnRead(const Confirmation& aRead);
  void Pause(std::chrono::milliseconds aTime);
  /// A random time in this range.
  std::chrono::milliseconds Between(std::chrono::milliseconds aLeast,
                                    std::chrono::milliseconds aMost);

  const std::shared_ptr<RouteStore> mStore;
  const Hooks mHooks;
  const Settings mSettings;
  /// Kept alive by pull callbacks that run after this object is destroyed.
  std::shared_ptr<Shared> mShared;
  /// Used only by the watch. 0: read the whole document next.
  std::uint64_t mCursor = 0;
  /// Time of the last read of the whole document; used only by the watch.
  core::TimePoint mLastRead;
  /// True from a lost history to the next successful wait; used only by the
  /// watch.
  bool mHistoryGone = false;
  std::mt19937_64 mRandom{ std::random_device{}() };
  std::atomic<bool> mStoreReachable{ false };
  std::atomic<std::size_t> mNodes{ 1 };
  /// The watch reads the whole document next.
  std::atomic<bool> mReadNext{ false };
  /// Guards the members below.
  mutable std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mRestart = false;
  /// Last known position in the store's history; 0 for none. Compared with
  /// responses only to calls that were sent later.
  std::uint64_t mKnownCursor = 0;
  Freshness mFreshness;
  /// True from a failed read to the next one that succeeds.
  bool mReadFailed = false;
  std::thread mThread;
  std::thread mReadThread;
};

} // namespace nutmegrock::routes
