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

/// Keeps a ActiveProfiles up to date: polls the store on one thread, since the
/// store's calls block, and takes over sets pulled from members on another, so
/// that a slow store delays neither.
class ProfileSync
{
public:
  using PullCallback = std::function<void(core::Expected<std::string>)>;

  /// What the node provides. Each hook may be called from either thread, and
  /// mPull also from the caller of OnVersionSeen().
  struct Hooks
  {
    /// Tells some members that this version is in force here.
    std::function<void(std::uint64_t)> mNotifyMembers;
    /// Asks one member for its set by ProfileExchange::kMethod; the callback
    /// may be called from any thread, also after Stop().
    std::function<void(core::Address, PullCallback)> mPull;
    /// Number of known members including this node.
    std::function<std::size_t()> mMemberCount;
  };

  struct Settings
  {
    PollSchedule::Settings mPoll;
    ProfileExchange::Settings mExchange;
    /// Seed of the random intervals; nodes must differ.
    std::uint64_t mSeed = 0;
  };

  /// What happened so far.
  struct Counts
  {
    std::uint64_t mPolls = 0;
    std::uint64_t mPollFailures = 0;
    std::uint64_t mPulls = 0;
    std::uint64_t mPullFailures = 0;
    std::uint64_t mActivated = 0;
    /// Older or equal sets offered by the store or a member.
    std::uint64_t mOlder = 0;
  };

  /// The ports and the holder must outlive this object.
  ProfileSync(store::TableService& aTable,
              store::ObjectStore& aObjects,
              ActiveProfiles& aActiveProfiles,
              Hooks aHooks,
              Settings aSettings);
  ProfileSync(const ProfileSync&) = delete;
  ProfileSync& operator=(const ProfileSync&) = delete;
  /// Stops.
  ~ProfileSync();

  /// Starts the threads; the first poll is immediate.
  void Start();
  /// Ends the threads; waits for a store call under way.
  void Stop();

  /// A member shows by a ping, notice or hello that it has aVersion in force.
  /// Does not block; cheap when aVersion is not higher than the one in force.
  void OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion);
  /// Puts a set published on this node in force without waiting for a poll.
  void OnPublished(PublishedSet aPublished);
  /// The result of the control method ProfileExchange::kMethod. Fails with
  /// NoProfiles.
  core::Expected<std::string> HandlePull() const;

  Counts CountsSoFar() const;

private:
  struct Shared;

  void PollLoop();
  void WorkLoop();
  /// False when the store failed or holds a set that cannot be used.
  bool PollOnce();
  void Activate(PublishedSet aPublished);

  ProfileReader mReader;
  ActiveProfiles& mActiveProfiles;
  Hooks mHooks;
  Settings mSettings;
  /// Outlives this object in callbacks of pulls that answer late.
  std::shared_ptr<Shared> mShared;
  /// Version of the store last found unusable, so that it is logged once. Used
  /// by the polling thread only.
  std::uint64_t mUnusable = 0;
  std::thread mPollThread;
  std::thread mWorkThread;
};

} // namespace nutmegrock::profiles
