#include "gateway/LearnedCosts.h"

#include <spdlog/fmt/fmt.h>
#include <utility>

namespace nutmegrock::gateway {

namespace {

/// Maximum number of attempts to read at the start; after that the costs have
/// been learned again.
constexpr int kMaxReads = 10;
constexpr std::chrono::milliseconds kReadRetryDelay{ 400 };

} // namespace

LearnedCosts::LearnedCosts(std::shared_ptr<store::TableService> aTable,
                           const std::string& aService,
                           Hooks aHooks)
  : mTable(std::move(aTable))
  , mKey("costs/" + aService)
  , mHooks(std::move(aHooks))
  , mThread([this] { Run(); })
{
}

LearnedCosts::~LearnedCosts()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  mThread.join();
}

void
LearnedCosts::Save(const LearnedState& aState)
{
  {
    const std::lock_guard lock(mMutex);
    mPending = EncodeLearned(aState);
  }
  mWake.notify_all();
}

void
LearnedCosts::Retry()
{
  {
    const std::lock_guard lock(mMutex);
    if (mPending || !mFailed) {
      return;
    }
    mPending = std::exchange(mFailed, std::nullopt);
  }
  mWake.notify_all();
}

void
LearnedCosts::Run()
{
  std::unique_lock lock(mMutex);
  bool read = false;
  for (int i = 0; i < kMaxReads && !read && !mStopping; ++i) {
    lock.unlock();
    read = Read(true);
    lock.lock();
    if (!read) {
      mWake.wait_for(lock, kReadRetryDelay, [this] { return mStopping; });
    }
  }
  while (!mStopping) {
    mWake.wait(lock, [this] { return mStopping || mPending.has_value(); });
    if (mStopping) {
      return;
    }
    const std::string text = *std::exchange(mPending, std::nullopt);
    lock.unlock();
    const bool written = Write(text);
    lock.lock();
    mFailed = written ? std::nullopt : std::optional(text);
  }
}

bool
LearnedCosts::Read(bool aReportCosts)
{
  const auto row = mTable->Read(mKey);
  if (!row) {
    return false;
  }
  mVersion = *row ? (*row)->mVersion : 0;
  if (!*row || !aReportCosts) {
    return true;
  }
  auto state = DecodeLearned((*row)->mValue);
  if (!state) {
    // The next write replaces it.
    mHooks.mLog(fmt::format(
      "event=costs_unusable row={} version={}", mKey, (*row)->mVersion));
    return true;
  }
  mHooks.mLog(fmt::format("event=costs_read row={} version={} routes={}",
                          mKey,
                          (*row)->mVersion,
                          state->mCosts.size()));
  mHooks.mOnRead(std::move(*state));
  return true;
}

// After an error the version of the row is unknown.
bool
LearnedCosts::Write(const std::string& aText)
{
  for (const bool can_retry : { true, false }) {
    const auto written = mTable->Write(mKey, aText, mVersion);
    if (written) {
      mVersion = *written;
      return true;
    }
    if (written.error().mKind != core::ErrorKind::VersionConflict ||
        !can_retry || !Read(false)) {
      mHooks.mLog(fmt::format("event=costs_not_saved row={} reason=\"{}\"",
                              mKey,
                              written.error().mMessage));
      return false;
    }
  }
  return false;
}

} // namespace nutmegrock::gateway
