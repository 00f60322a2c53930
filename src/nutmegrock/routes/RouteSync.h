#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "routes/ActiveRoutes.h"
#include "routes/RouteStore.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace nutmegrock::routes {

/// Keeps the routes in force up to date: watches the store on a thread of its
/// own, and takes newer routes from other nodes, so that a node which the store
/// does not answer follows the others.
class RouteSync
{
public:
  using PullCallback = std::function<void(core::Expected<std::string>)>;

  struct Hooks
  {
    /// Asks the node at a peer address for its document by kMethod. The
    /// callback may be called from any thread, also after the end of this
    /// object.
    std::function<void(const core::Address&, PullCallback)> mPull;
    /// One line for each change of what is known.
    std::function<void(const std::string&)> mLog;
  };

  /// Control request that is answered with HandlePull().
  static constexpr const char* kMethod = "routes.pull";

  /// The holder must outlive this object.
  RouteSync(std::shared_ptr<RouteStore> aStore,
            RouteDecoder aDecoder,
            ActiveRoutes& aActiveRoutes,
            Hooks aHooks);
  RouteSync(const RouteSync&) = delete;
  RouteSync& operator=(const RouteSync&) = delete;
  /// Waits for a store call under way.
  ~RouteSync();

  /// The first read is immediate.
  void Start();
  /// A node shows that it has this version in force. Does not block; cheap when
  /// the version is not higher than the own one.
  void OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion);
  /// The document in force. Fails with NoProfiles.
  core::Expected<std::string> HandlePull() const;
  /// Whether the last call to the store succeeded.
  bool IsStoreReachable() const { return mStoreReachable; }

private:
  struct Shared;

  void Run();
  /// False when the store failed.
  bool RunOnce();
  void Pause(std::chrono::milliseconds aTime);

  const std::shared_ptr<RouteStore> mStore;
  const Hooks mHooks;
  /// Outlives this object in callbacks of pulls that answer late.
  std::shared_ptr<Shared> mShared;
  /// Used by the thread only. 0: read the whole document next.
  std::uint64_t mCursor = 0;
  std::atomic<bool> mStoreReachable{ false };
  std::mutex mMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace nutmegrock::routes
