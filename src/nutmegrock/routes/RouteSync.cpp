#include "routes/RouteSync.h"

#include <algorithm>
#include <optional>
#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::routes {

namespace {

using std::chrono::milliseconds;

/// Minimum share of the maximum wait that a watch waits; at random, so that the
/// nodes do not call the store at the same moments.
constexpr double kMinWaitShare = 0.8;
/// Maximum delay between a change and the next watch, so that changes in quick
/// succession take one call.
constexpr milliseconds kMaxWatchDelay{ 800 };
/// The same for each node, which bounds the calls after a change at many nodes
/// to half of the 2,000 that a store takes in a second.
constexpr milliseconds kMaxWatchDelayPerNode{ 1 };
/// Backoff while the store fails, doubled each time. Calls cost money, and a
/// recovered store must be noticed within three seconds, a read that is lost
/// just before it recovers included.
constexpr milliseconds kInitialBackoff{ 250 };
constexpr milliseconds kMaxBackoff{ 1'000 };
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
    {
      const std::lock_guard lock(mMutex);
      if (aDocument == mDocument) {
        return;
      }
    }
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
                     Hooks aHooks)
  : RouteSync(std::move(aStore),
              std::move(aDecoder),
              aActiveRoutes,
              std::move(aHooks),
              Settings{})
{
}

RouteSync::RouteSync(std::shared_ptr<RouteStore> aStore,
                     RouteDecoder aDecoder,
                     ActiveRoutes& aActiveRoutes,
                     Hooks aHooks,
                     Settings aSettings)
  : mStore(std::move(aStore))
  , mHooks(std::move(aHooks))
  , mSettings(aSettings)
  , mShared(new Shared{ std::move(aDecoder), aActiveRoutes, mHooks.mLog })
  , mFreshness(core::Clock::now(), mRandom())
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
    mReadThread.join();
  }
}

void
RouteSync::Start()
{
  mThread = std::thread([this] { Run(); });
  mReadThread = std::thread([this] { RunReads(); });
}

void
RouteSync::Restart()
{
  {
    const std::lock_guard lock(mMutex);
    mRestart = true;
    // The store has another address and may be another one.
    mKnownCursor = 0;
  }
  mWake.notify_all();
}

void
RouteSync::SetNodes(std::size_t aNodes)
{
  mNodes = aNodes;
  const std::lock_guard lock(mMutex);
  mFreshness.SetNodes(aNodes);
}

void
RouteSync::OnConfirmed(const Confirmation& aHeard)
{
  bool pass_on = false;
  {
    const std::lock_guard lock(mMutex);
    pass_on = mFreshness.OnHeard(aHeard);
  }
  if (pass_on && mHooks.mOnConfirmed) {
    mHooks.mOnConfirmed();
  }
}

void
RouteSync::OnRead(const Confirmation& aRead)
{
  bool pass_on = false;
  bool regained = false;
  {
    const std::lock_guard lock(mMutex);
    pass_on = mFreshness.OnRead(aRead);
    regained = std::exchange(mReadFailed, false);
  }
  if (regained) {
    mHooks.mLog("event=routes_read_again");
  }
  if (pass_on && mHooks.mOnConfirmed) {
    mHooks.mOnConfirmed();
  }
}

void
RouteSync::RunReads()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    // While the watch finds that the store fails, it reads again and again.
    if (!mStoreReachable) {
      mWake.wait(lock, [this] { return mStopping || mStoreReachable; });
    } else if (core::Clock::now() < mFreshness.ReadAt()) {
      mWake.wait_until(lock, mFreshness.ReadAt(), [this] { return mStopping; });
    } else {
      lock.unlock();
      ReadOnce();
      lock.lock();
    }
  }
}

void
RouteSync::ReadOnce()
{
  const std::uint64_t known = KnownCursor();
  const core::TimePoint sent_at = core::Clock::now();
  const auto stored = mStore->ReadOnNewConnection();
  if (stored) {
    mReadNext = CheckRollback(known, stored->mCursor) || mReadNext;
    if (!stored->mDocument.empty()) {
      mShared->Activate(stored->mDocument, "read");
    }
    OnRead({ sent_at, stored->mStoreMs });
    return;
  }
  const core::TimePoint now = core::Clock::now();
  bool first = false;
  core::Duration age{ 0 };
  {
    const std::lock_guard lock(mMutex);
    mFreshness.OnReadFailed(now);
    first = !std::exchange(mReadFailed, true);
    age = now - mFreshness.Last().mAt;
  }
  if (first) {
    mHooks.mLog(
      fmt::format("event=routes_read_failed age_ms={} reason=\"{}\"",
                  std::chrono::duration_cast<milliseconds>(age).count(),
                  stored.error().mMessage));
  }
}

std::uint64_t
RouteSync::KnownCursor() const
{
  const std::lock_guard lock(mMutex);
  return mKnownCursor;
}

bool
RouteSync::CheckRollback(std::uint64_t aKnown, std::uint64_t aCursor)
{
  {
    const std::lock_guard lock(mMutex);
    // The other thread has noticed a rollback since the call was sent.
    if (aKnown > mKnownCursor) {
      return false;
    }
    if (aCursor >= aKnown) {
      mKnownCursor = std::max(mKnownCursor, aCursor);
      return false;
    }
    mKnownCursor = aCursor;
  }
  mHooks.mLog(
    fmt::format("event=store_rolled_back known={} now={} version_in_force={}",
                aKnown,
                aCursor,
                mShared->mActiveRoutes.Version()));
  if (mHooks.mOnStoreRolledBack) {
    mHooks.mOnStoreRolledBack();
  }
  return true;
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
  const milliseconds wait = mSettings.mMaxWait;
  const auto min_wait =
    std::chrono::duration_cast<milliseconds>(wait * kMinWaitShare);
  const core::TimePoint now = core::Clock::now();
  if (mReadNext.exchange(false) ||
      now - mLastRead >= mSettings.mWaitsPerRead * wait) {
    mCursor = 0;
  }
  const std::uint64_t known = KnownCursor();
  const bool watched = mCursor != 0;
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
    {
      const std::lock_guard lock(mMutex);
      mStoreReachable = stored.has_value();
    }
    mWake.notify_all();
    mHooks.mLog(stored ? "event=store_regained"
                       : fmt::format("event=store_lost reason=\"{}\"",
                                     stored.error().mMessage));
    if (stored && mHooks.mOnStoreRegained) {
      mHooks.mOnStoreRegained();
    }
  }
  if (!stored) {
    // The store may have lost writes before it answers again, and may have
    // passed the cursor again by then. Only a read of the whole document finds
    // what was published meanwhile.
    mCursor = 0;
    return false;
  }
  OnStored(*stored, watched, known);
  if (!watched) {
    OnRead({ now, stored->mStoreMs });
  }
  return true;
}

void
RouteSync::OnStored(const StoredRoutes& aStored,
                    bool aWatched,
                    std::uint64_t aKnown)
{
  mHistoryGone = mHistoryGone && !aWatched;
  mCursor = aStored.mCursor;
  if (CheckRollback(aKnown, aStored.mCursor) && aWatched) {
    // Changes up to the cursor of a watch were not reported.
    mCursor = 0;
  }
  if (!aStored.mDocument.empty()) {
    mShared->Activate(aStored.mDocument, "store");
    if (aWatched) {
      Pause(Between(milliseconds(0),
                    std::max(kMaxWatchDelay,
                             static_cast<milliseconds::rep>(mNodes) *
                               kMaxWatchDelayPerNode)));
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
  Progress progress;
  {
    const std::lock_guard lock(mMutex);
    progress.mAge =
      std::chrono::duration_cast<milliseconds>(aNow - mFreshness.Last().mAt);
  }
  const std::lock_guard lock(mShared->mMutex);
  progress.mVersion = mShared->mDocumentVersion;
  progress.mHeardVersion = mShared->mHeardVersion;
  progress.mFailedPulls = mShared->mFailedPulls;
  return progress;
}

std::optional<Confirmation>
RouteSync::LastConfirmation() const
{
  if (mShared->mActiveRoutes.Version() == 0) {
    return std::nullopt;
  }
  const std::lock_guard lock(mMutex);
  const Confirmation& last = mFreshness.Last();
  return last.mStoreMs == 0 ? std::nullopt : std::optional(last);
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
