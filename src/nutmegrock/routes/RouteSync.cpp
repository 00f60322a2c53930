#include "routes/RouteSync.h"

#include "routes/WatchWait.h"

#include <algorithm>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::routes {

namespace {

using std::chrono::milliseconds;

/// Minimum share of WatchWait() that a watch waits; at random, so that the
/// nodes do not call the store at the same moments.
constexpr double kMinWaitShare = 0.8;
/// Maximum delay between a change and the next watch, so that changes in quick
/// succession take one call. A node that hears of changes only from the store
/// puts the newest in force within this time and a round trip.
constexpr milliseconds kMaxWatchDelay{ 800 };
/// Backoff while the store fails, doubled each time. Calls cost money, and a
/// recovered store must be noticed within two seconds.
constexpr milliseconds kInitialBackoff{ 250 };
constexpr milliseconds kMaxBackoff{ 1'500 };
/// Delay between reads while the store holds no routes.
constexpr milliseconds kEmptyStoreDelay{ 500 };

} // namespace

/// State used by pull callbacks.
struct RouteSync::Shared
{
  RouteDecoder mDecoder;
  ActiveRoutes& mActiveRoutes;
  std::function<void(const std::string&)> mLog;
  mutable std::mutex mMutex = {};
  std::string mDocument = {};
  std::uint64_t mDocumentVersion = 0;
  std::uint64_t mHeardVersion = 0;
  /// Since when a version higher than the one in force is known of.
  std::optional<core::TimePoint> mBehindSince = std::nullopt;
  std::uint64_t mFailedPulls = 0;
  bool mPulling = false;
  bool mEnded = false;

  /// Puts a document in force if it is valid and newer.
  void Activate(const std::string& aDocument, std::string_view aFrom)
  {
    auto source = mDecoder(aDocument);
    auto set = source ? RouteSet::Create(std::move(*source))
                      : tl::make_unexpected(std::move(source.error()));
    if (!set) {
      mLog(fmt::format("event=routes_unusable from={} bytes={} reason=\"{}\" "
                       "version_in_force={}",
                       aFrom,
                       aDocument.size(),
                       set.error().mMessage,
                       mActiveRoutes.Version()));
      return;
    }
    milliseconds behind{ 0 };
    {
      const std::lock_guard lock(mMutex);
      if (mEnded || (*set)->Version() <= mDocumentVersion) {
        return;
      }
      mDocument = aDocument;
      mDocumentVersion = (*set)->Version();
      if (mBehindSince) {
        behind = std::chrono::duration_cast<milliseconds>(core::Clock::now() -
                                                          *mBehindSince);
      }
      if (mDocumentVersion >= mHeardVersion) {
        mBehindSince.reset();
      }
    }
    if (mActiveRoutes.Activate(*set)) {
      mLog(fmt::format("event=routes_in_force version={} routes={} from={} "
                       "behind_ms={}",
                       (*set)->Version(),
                       (*set)->Routes().size(),
                       aFrom,
                       behind.count()));
    }
  }
};

RouteSync::RouteSync(std::shared_ptr<RouteStore> aStore,
                     RouteDecoder aDecoder,
                     ActiveRoutes& aActiveRoutes,
                     Hooks aHooks,
                     int aWaitsPerRead)
  : mStore(std::move(aStore))
  , mHooks(std::move(aHooks))
  , mWaitsPerRead(aWaitsPerRead)
  , mShared(new Shared{ std::move(aDecoder), aActiveRoutes, mHooks.mLog })
{
}

RouteSync::~RouteSync()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  {
    const std::lock_guard lock(mShared->mMutex);
    mShared->mEnded = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
RouteSync::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
RouteSync::Restart()
{
  {
    const std::lock_guard lock(mMutex);
    mRestart = true;
  }
  mWake.notify_all();
}

void
RouteSync::Pause(milliseconds aTime)
{
  std::unique_lock lock(mMutex);
  mWake.wait_for(lock, aTime, [this] { return mStopping || mRestart; });
}

milliseconds
RouteSync::Between(milliseconds aLeast, milliseconds aMost)
{
  return milliseconds(std::uniform_int_distribution<milliseconds::rep>(
    aLeast.count(), aMost.count())(mRandom));
}

void
RouteSync::Run()
{
  milliseconds backoff{ 0 };
  for (;;) {
    {
      const std::lock_guard lock(mMutex);
      if (mStopping) {
        return;
      }
      if (std::exchange(mRestart, false)) {
        mCursor = 0;
        // The store has another address and may be another one.
        mKnownCursor = 0;
        backoff = milliseconds(0);
      }
    }
    if (RunOnce()) {
      backoff = milliseconds(0);
      continue;
    }
    backoff = std::clamp(backoff * 2, kInitialBackoff, kMaxBackoff);
    Pause(backoff);
  }
}

bool
RouteSync::RunOnce()
{
  const milliseconds wait = WatchWait(mRank);
  const auto min_wait =
    std::chrono::duration_cast<milliseconds>(wait * kMinWaitShare);
  const core::TimePoint now = core::Clock::now();
  if (now - mLastRead >= mWaitsPerRead * wait) {
    mCursor = 0;
  }
  mLastRead = mCursor == 0 ? now : mLastRead;
  auto stored = mCursor == 0
                  ? mStore->Read()
                  : mStore->WaitForChange(mCursor, Between(min_wait, wait));
  if (!stored && stored.error().mKind == core::ErrorKind::NotFound) {
    mHooks.mLog(fmt::format("event=store_history_gone cursor={}", mCursor));
    mCursor = 0;
    // Without any history the store is read as often as it would be watched.
    if (std::exchange(mHistoryGone, true)) {
      Pause(Between(min_wait, wait));
    }
    return true;
  }
  if (mStoreReachable != stored.has_value()) {
    mStoreReachable = stored.has_value();
    mHooks.mLog(stored ? "event=store_regained"
                       : fmt::format("event=store_lost reason=\"{}\"",
                                     stored.error().mMessage));
    if (stored && mHooks.mOnStoreRegained) {
      mHooks.mOnStoreRegained();
    }
  }
  if (stored) {
    mAnsweredAt = core::Clock::now();
  }
  if (!stored) {
    // The store may have lost writes before it answers again, and may have
    // passed the cursor again by then. Only a read of the whole document finds
    // what was published meanwhile.
    mCursor = 0;
    return false;
  }
  OnStored(*stored, mCursor != 0);
  return true;
}

void
RouteSync::OnStored(const StoredRoutes& aStored, bool aWatched)
{
  mHistoryGone = mHistoryGone && !aWatched;
  const std::uint64_t known = std::exchange(mKnownCursor, aStored.mCursor);
  mCursor = aStored.mCursor;
  if (aStored.mCursor < known) {
    mHooks.mLog(
      fmt::format("event=store_rolled_back known={} now={} version_in_force={}",
                  known,
                  aStored.mCursor,
                  mShared->mActiveRoutes.Version()));
    // Changes up to the cursor of a watch were not reported.
    mCursor = aWatched ? 0 : mCursor;
    if (mHooks.mOnStoreRolledBack) {
      mHooks.mOnStoreRolledBack();
    }
  }
  if (!aStored.mDocument.empty()) {
    mShared->Activate(aStored.mDocument, "store");
    if (aWatched) {
      Pause(Between(milliseconds(0), kMaxWatchDelay));
    }
  } else if (aStored.mCursor == 0) {
    Pause(kEmptyStoreDelay);
  }
}

void
RouteSync::OnVersionSeen(const core::Address& aFrom, std::uint64_t aVersion)
{
  {
    const std::lock_guard lock(mShared->mMutex);
    mShared->mHeardVersion = std::max(mShared->mHeardVersion, aVersion);
    if (aVersion <= mShared->mDocumentVersion) {
      return;
    }
    if (!mShared->mBehindSince) {
      mShared->mBehindSince = core::Clock::now();
    }
    if (mShared->mPulling) {
      return;
    }
    mShared->mPulling = true;
  }
  mHooks.mPull(aFrom,
               [shared = mShared,
                from = aFrom.ToString()](core::Expected<std::string> aText) {
                 {
                   const std::lock_guard lock(shared->mMutex);
                   shared->mPulling = false;
                   shared->mFailedPulls += aText ? 0 : 1;
                   if (shared->mEnded) {
                     return;
                   }
                 }
                 if (aText) {
                   shared->Activate(*aText, from);
                 } else {
                   shared->mLog(fmt::format(
                     "event=routes_pull_failed from={} reason=\"{}\"",
                     from,
                     aText.error().mMessage));
                 }
               });
}

RouteSync::Progress
RouteSync::ProgressAt(core::TimePoint aNow) const
{
  const std::lock_guard lock(mShared->mMutex);
  return { mShared->mDocumentVersion,
           mShared->mHeardVersion,
           mShared->mFailedPulls,
           std::chrono::duration_cast<milliseconds>(aNow -
                                                    mAnsweredAt.load()) };
}

core::Expected<std::string>
RouteSync::HandlePull() const
{
  const std::lock_guard lock(mShared->mMutex);
  if (mShared->mDocument.empty()) {
    return core::Fail(core::ErrorKind::NoProfiles,
                      "this node has not received any routes yet");
  }
  return mShared->mDocument;
}

} // namespace nutmegrock::routes
