#include "membership/Sync.h"

#include "membership/MemberTable.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::membership {

namespace {

/// Pause after a failed first exchange, in which a starting node learns the
/// members.
constexpr core::Duration kJoinPause = std::chrono::seconds(1);

} // namespace

Sync::Sync(const MembershipSettings& aSettings)
  : mInterval(aSettings.mSyncInterval)
{
}

bool
Sync::IsDue(core::TimePoint aNow) const
{
  return !mRun && aNow >= mDueAt && aNow >= mNotBefore;
}

bool
Sync::MayStart(core::TimePoint aNow) const
{
  return !mRun && aNow >= mNotBefore;
}

const Sync::Run&
Sync::Start(core::TimePoint aNow,
            core::Address aPeer,
            core::Incarnation aTarget)
{
  Run run;
  run.mId = ++mNextId;
  run.mPeer = std::move(aPeer);
  run.mTarget = aTarget;
  run.mUntil = aNow + kTimeout;
  mRun = std::move(run);
  return *mRun;
}

const Sync::Run*
Sync::Continue(core::TimePoint aNow,
               std::size_t aNextBucket,
               std::size_t aBytes,
               std::size_t aChanges,
               Random& aRandom)
{
  Run& run = *mRun;
  run.mBytes += aBytes;
  run.mChanges += aChanges;
  // A page that does not advance would repeat forever.
  if (aNextBucket >= MemberTable::kBuckets || aNextBucket <= run.mBucket) {
    mCompleted = true;
    Finish(aNow, aRandom);
    return nullptr;
  }
  run.mBucket = aNextBucket;
  run.mId = ++mNextId;
  run.mUntil = aNow + kTimeout;
  return &run;
}

void
Sync::Abort(core::TimePoint aNow, Random& aRandom)
{
  Finish(aNow, aRandom);
}

bool
Sync::Expire(core::TimePoint aNow, Random& aRandom)
{
  if (!mRun || aNow < mRun->mUntil) {
    return false;
  }
  Finish(aNow, aRandom);
  return true;
}

void
Sync::Finish(core::TimePoint aNow, Random& aRandom)
{
  const std::chrono::duration<double> cost(static_cast<double>(mRun->mBytes) /
                                           kBytesPerSecond);
  mRun.reset();
  mNotBefore =
    aNow + std::max<core::Duration>(
             kJoinPause, std::chrono::duration_cast<core::Duration>(cost));
  mDueAt = mNotBefore;
  if (mCompleted) {
    mDueAt = aNow + std::chrono::duration_cast<core::Duration>(
                      mInterval * (0.5 + aRandom.Unit()));
  }
}

} // namespace nutmegrock::membership
