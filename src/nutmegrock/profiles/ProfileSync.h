#pragma once

#include "core/Address.h"
#include "core/Error.h"
#include "profiles/ActiveProfiles.h"
#include "profiles/PollSchedule.h"
#include "profiles/ProfileExchange.h"
#include "profiles/ProfileReader.h"
#include "store/ObjectStore.h"
#include "store/TableService.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace nutmegrock::profiles {

/// Keeps ActiveProfiles up to date. Polls the store on one thread, since
/// store calls block, and activates sets pulled from members on another, so
/// that a slow store does not delay these.
class ProfileSync
{
public:
  using PullCallback = std::function<void(core::Expected<std::string>)>;

  /// Hooks of the node. Each may be called from either thread, and mPull also
  /// from the caller of OnVersionSeen().
  struct Hooks
  {
    /// Notifies some members that a version is active on this node.
    std::function<void(std::uint64_t)> mNotifyMembers;
    /// Requests the set of a member with ProfileExchange::kMethod. The callback
    /// may be called from any thread, even after Stop().
    std::function<void(core::Address, PullCallback)> mPull;
    /// Returns the number of known members, this node included.
    std::function<std::size_t()> mMemberCount;
  };

  struct Settings
  {
    PollSchedule::Settings mPoll;
    ProfileExchange::Settings mExchange;
    /// Seed of the random intervals; must differ between nodes.
    std::uint64_t mSeed = 0;
  };

  /// Counts of events since the start.
  struct Counts
  {
    std::uint64_t mPolls = 0;
    std::uint64_t mPollFailures = 0;
    std::uint64_t mPulls = 0;
    std::uint64_t mPullFailures = 0;
    std::uint64_t mActivated = 0;
    /// Older sets offered by the store or a member.
    std::uint64_t mOutdated = 0;
  };

  /// The referenced objects must outlive this object.
  ProfileSync(store::TableService& aTable,
              store::ObjectStore& aObjects,
              ActiveProfiles& aActiveProfiles,
              Hooks aHooks,
              Settings aSettings);
  ProfileSync(const ProfileSync&) = delete;
  ProfileSync& operator=(const ProfileSync&) = delete;
  /// Calls Stop().
  ~ProfileSync();

  /// Starts the threads; the first poll follows immediately.
  void Start();
  /// Stops the threads; waits for a store call in progress.
  void Stop();

  /// Called when a ping, notice or hello of a member reports that aVersion is
  /// active there. Does not block; cheap unless aVersion is higher than the
  /// active one.
  void OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion);
  /// Activates a set published through this node without waiting for a poll.
  void OnPublished(PublishedSet aPublished);
  /// Returns the result of the control method ProfileExchange::kMethod. Fails
  /// with NoProfiles if no profiles are active.
  core::Expected<std::string> HandlePull() const;

  Counts CurrentCounts() const;

private:
  struct Shared;

  void PollLoop();
  void ActivationLoop();
  /// Returns false if the store failed or holds an invalid set.
  bool PollOnce();
  void Activate(PublishedSet aPublished);

  ProfileReader mReader;
  ActiveProfiles& mActiveProfiles;
  Hooks mHooks;
  Settings mSettings;
  /// Outlives this object in callbacks of pulls whose response is late.
  std::shared_ptr<Shared> mShared;
  /// Last version in the store that was invalid, so that it is logged once.
  /// Used by the polling thread only.
  std::uint64_t mInvalidVersion = 0;
  std::thread mPollThread;
  std::thread mActivationThread;
};

} // namespace nutmegrock::profiles
