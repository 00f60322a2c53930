#include "membership/TableSync.h"

#include "membership/MemberTable.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::membership {

namespace {

/// Minimum delay between exchanges; the delay after a failed first one, in
/// which a starting node learns the members.
constexpr core::Duration kMinDelay = std::chrono::seconds(1);

} // namespace

TableSync::TableSync(const MembershipSettings& aSettings)
  : mInterval(aSettings.mSyncInterval)
{
}

bool
TableSync::IsDue(core::TimePoint aNow) const
{
  return !mRun && aNow >= mDueAt && aNow >= mNotBefore;
}

bool
TableSync::MayStart(core::TimePoint aNow) const
{
  return !mRun && aNow >= mNotBefore;
}

const TableSync::Run&
TableSync::Start(core::TimePoint aNow,
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

const TableSync::Run*
TableSync::Continue(core::TimePoint aNow,
                    std::size_t aNextBucket,
                    std::size_t aBytes,
                    std::size_t aChanges,
                    Random& aRandom)
{
  Run& run = *mRun;
  run.mBytes += aBytes;
  run.mChanges += aChanges;
  // A page that does not advance would be requested again forever.
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
TableSync::Abort(core::TimePoint aNow, Random& aRandom)
{
  Finish(aNow, aRandom);
}

bool
TableSync::Expire(core::TimePoint aNow, Random& aRandom)
{
  if (!mRun || aNow < mRun->mUntil) {
    return false;
  }
  Finish(aNow, aRandom);
  return true;
}

void
TableSync::Finish(core::TimePoint aNow, Random& aRandom)
{
  const std::chrono::duration<double> cost(static_cast<double>(mRun->mBytes) /
                                           kBytesPerSecond);
  mRun.reset();
  mNotBefore =
    aNow + std::max<core::Duration>(
             kMinDelay, std::chrono::duration_cast<core::Duration>(cost));
  mDueAt = mNotBefore;
  if (mCompleted) {
    mDueAt = aNow + std::chrono::duration_cast<core::Duration>(
                      mInterval * (0.5 + aRandom.Unit()));
  }
}

} // namespace nutmegrock::membership
