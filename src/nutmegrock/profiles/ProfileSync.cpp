#include "profiles/ProfileSync.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <random>
#include <spdlog/spdlog.h>
#include <utility>

namespace nutmegrock::profiles {

/// State shared by the threads and the callbacks of pulls.
struct ProfileSync::Shared
{
  struct Pulled
  {
    core::Address mFrom;
    core::Expected<std::string> mResult;
  };

  explicit Shared(ProfileExchange::Settings aSettings)
    : mExchange(aSettings)
  {
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopped = false;
  ProfileExchange mExchange;
  std::deque<Pulled> mPulled;
  Counts mCounts;
};

ProfileSync::ProfileSync(store::TableService& aTable,
                         store::ObjectStore& aObjects,
                         ActiveProfiles& aActiveProfiles,
                         Hooks aHooks,
                         Settings aSettings)
  : mReader(aTable, aObjects)
  , mActiveProfiles(aActiveProfiles)
  , mHooks(std::move(aHooks))
  , mSettings(aSettings)
  , mShared(std::make_shared<Shared>(aSettings.mExchange))
{
}

ProfileSync::~ProfileSync()
{
  Stop();
}

void
ProfileSync::Start()
{
  mPollThread = std::thread([this] { PollLoop(); });
  mActivationThread = std::thread([this] { ActivationLoop(); });
}

void
ProfileSync::Stop()
{
  {
    const std::scoped_lock lock(mShared->mMutex);
    mShared->mStopped = true;
  }
  mShared->mChanged.notify_all();
  for (std::thread* thread : { &mPollThread, &mActivationThread }) {
    if (thread->joinable()) {
      thread->join();
    }
  }
}

void
ProfileSync::OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion)
{
  const std::uint64_t active_version = mActiveProfiles.Version();
  if (aVersion <= active_version) {
    return;
  }
  {
    const std::scoped_lock lock(mShared->mMutex);
    if (mShared->mStopped ||
        !mShared->mExchange.OnVersionSeen(
          aFrom, aVersion, active_version, core::Clock::now())) {
      return;
    }
    ++mShared->mCounts.mPulls;
  }
  // The callback may run after this object was destroyed.
  mHooks.mPull(aFrom,
               [shared = std::weak_ptr<Shared>(mShared),
                aFrom](core::Expected<std::string> aResult) {
                 if (const auto alive = shared.lock()) {
                   const std::scoped_lock lock(alive->mMutex);
                   alive->mPulled.push_back({ aFrom, std::move(aResult) });
                   alive->mChanged.notify_all();
                 }
               });
}

void
ProfileSync::OnPublished(PublishedSet aPublished)
{
  Activate(std::move(aPublished));
}

core::Expected<std::string>
ProfileSync::HandlePull() const
{
  return ProfileExchange::MakeResponse(mActiveProfiles);
}

ProfileSync::Counts
ProfileSync::CurrentCounts() const
{
  const std::scoped_lock lock(mShared->mMutex);
  return mShared->mCounts;
}

void
ProfileSync::PollLoop()
{
  PollSchedule schedule(mSettings.mPoll);
  std::mt19937_64 engine(mSettings.mSeed);
  std::uniform_real_distribution<double> random(0.0, 1.0);
  bool succeeded = true;
  while (true) {
    const bool success = PollOnce();
    if (success != succeeded) {
      succeeded = success;
      if (success) {
        spdlog::info("usable profiles can be read from the store again");
      } else {
        spdlog::warn("no usable profiles can be read from the store");
      }
    }
    schedule.OnRead(success);
    const core::TimePoint next =
      schedule.Next(core::Clock::now(), mHooks.mMemberCount(), random(engine));
    std::unique_lock lock(mShared->mMutex);
    ++mShared->mCounts.mPolls;
    mShared->mCounts.mPollFailures += success ? 0 : 1;
    if (mShared->mChanged.wait_until(
          lock, next, [this] { return mShared->mStopped; })) {
      return;
    }
  }
}

bool
ProfileSync::PollOnce()
{
  const auto current = mReader.ReadCurrent();
  if (!current) {
    spdlog::debug("polling the profiles: {}", current.error().mMessage);
    return false;
  }
  if (!*current) {
    return true;
  }
  const CurrentRow& row = (*current)->mRow;
  if (row.mRecord.mVersion <= mActiveProfiles.Version()) {
    if (row.mRecord.mVersion < mActiveProfiles.Version()) {
      const std::scoped_lock lock(mShared->mMutex);
      ++mShared->mCounts.mOutdated;
    }
    return true;
  }
  auto record = mReader.ReadRecord(row.mRecord);
  auto published = record ? PublishedSet::Of(std::move(*record))
                          : tl::make_unexpected(record.error());
  if (!published) {
    if (mInvalidVersion != row.mRecord.mVersion) {
      mInvalidVersion = row.mRecord.mVersion;
      spdlog::warn("profiles version {} of the store cannot be used: {}",
                   mInvalidVersion,
                   published.error().mMessage);
    }
    return false;
  }
  Activate(std::move(*published));
  return true;
}

void
ProfileSync::ActivationLoop()
{
  while (true) {
    std::unique_lock lock(mShared->mMutex);
    mShared->mChanged.wait(
      lock, [this] { return mShared->mStopped || !mShared->mPulled.empty(); });
    if (mShared->mStopped) {
      return;
    }
    const Shared::Pulled pulled = std::move(mShared->mPulled.front());
    mShared->mPulled.pop_front();
    lock.unlock();
    // Parsing takes milliseconds, so it runs without the lock that
    // OnVersionSeen() needs.
    auto published = ProfileExchange::Check(pulled.mResult);
    if (published) {
      Activate(std::move(*published));
    } else {
      // Not a warning, since it would repeat while the member returns an
      // invalid set. Failures are counted.
      spdlog::debug("profiles pulled from {} cannot be used: {}",
                    pulled.mFrom.ToString(),
                    published.error().mMessage);
    }
    lock.lock();
    mShared->mCounts.mPullFailures += published ? 0 : 1;
    mShared->mExchange.OnPulled(
      pulled.mFrom, published.has_value(), core::Clock::now());
  }
}

void
ProfileSync::Activate(PublishedSet aPublished)
{
  const std::uint64_t version = aPublished.mSet.mVersion;
  const std::uint64_t before = mActiveProfiles.Version();
  const bool activated = mActiveProfiles.Activate(std::move(aPublished));
  {
    const std::scoped_lock lock(mShared->mMutex);
    mShared->mCounts.mActivated += activated ? 1 : 0;
    mShared->mCounts.mOutdated += version < before ? 1 : 0;
  }
  if (activated) {
    spdlog::info("profiles version {} is in force", version);
    mHooks.mNotifyMembers(version);
  }
}

} // namespace nutmegrock::profiles
