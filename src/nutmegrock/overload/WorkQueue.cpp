#include "overload/WorkQueue.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Load of a fully used server whose calls have no known typical time yet.
constexpr double kRunningLoad = 0.9;
/// Interval between two updates of the cutoffs.
constexpr std::chrono::milliseconds kCutoffInterval{ 100 };

double
SecondsOf(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

WorkQueue::WorkQueue(WorkQueueSettings aSettings)
  : mSettings(aSettings)
{
}

void
WorkQueue::SetSlots(std::uint32_t aSlots)
{
  mLimit = std::max(
    1U, static_cast<std::uint32_t>(std::floor(aSlots * mSettings.mSlotShare)));
}

bool
WorkQueue::IsTooLate(core::TimePoint aNow, const WorkItem& aItem) const
{
  return aNow + std::chrono::duration_cast<core::Duration>(mWorkTime / 2 *
                                                           aItem.mTypicalTime) >
         aItem.mDeadline;
}

double
WorkQueue::DecayFactor(core::TimePoint aNow) const
{
  return std::exp(-SecondsOf(aNow - mDecayedAt) /
                  SecondsOf(mSettings.mSmoothing));
}

void
WorkQueue::Decay(core::TimePoint aNow)
{
  const double keep = mDecayedAt == core::TimePoint{} ? 0 : DecayFactor(aNow);
  mRequestedSeconds *= keep;
  mRequestedCalls *= keep;
  mDecayedAt = aNow;
}

double
WorkQueue::Load(core::TimePoint aNow) const
{
  if (mLimit == 0) {
    return 0;
  }
  // An exponentially decaying sum divided by its time constant is a rate.
  const double rate =
    mRequestedSeconds * DecayFactor(aNow) / SecondsOf(mSettings.mSmoothing);
  const double backlog = WaitingSeconds() / SecondsOf(mSettings.mDrainTime);
  double load =
    std::max(mWorkTime * (rate + backlog) / mLimit,
             static_cast<double>(SlotsInUse()) / mLimit * kRunningLoad);
  if (mRateLimit) {
    const double calls =
      mRequestedCalls * DecayFactor(aNow) / SecondsOf(mSettings.mSmoothing) +
      static_cast<double>(mItems.size()) / SecondsOf(mSettings.mDrainTime);
    load = std::max(load, calls / *mRateLimit);
  }
  return mEnded > 1 && mRefused > mSettings.mRefusingShare * mEnded
           ? std::max(load, mSettings.mRefusingLoad)
           : load;
}

WorkQueue::Pool&
WorkQueue::PoolOf(const std::string& aDownstream)
{
  return aDownstream.empty() ? mOwn : mPools[aDownstream];
}

const WorkQueue::Pool*
WorkQueue::FindPool(const std::string& aDownstream) const
{
  const auto found = mPools.find(aDownstream);
  return found == mPools.end() ? nullptr : &found->second;
}

double
WorkQueue::WaitingSeconds() const
{
  double seconds = mOwn.mWaitingSeconds;
  for (const auto& [service, pool] : mPools) {
    seconds += pool.HasRoom() ? pool.mWaitingSeconds : 0;
  }
  return std::max(0.0, seconds);
}

double
WorkQueue::Occupancy() const
{
  if (mLimit == 0) {
    return 0;
  }
  const auto occupancy =
    [](std::size_t aRunning, std::size_t aWaiting, std::uint32_t aLimit) {
      return static_cast<double>(aRunning + aWaiting) / std::max(1U, aLimit);
    };
  double most = occupancy(SlotsInUse(), mItems.size(), mLimit);
  for (const auto& [service, pool] : mPools) {
    if (pool.mLimit) {
      most = std::max(
        most, occupancy(pool.mRunning, pool.mOrder.size(), *pool.mLimit));
    }
  }
  return most;
}

double
WorkQueue::DownstreamCutoff(const std::string& aService) const
{
  const Pool* pool = FindPool(aService);
  return pool == nullptr ? kOpenRank : pool->mCutoff.Cutoff();
}

double
WorkQueue::DownstreamRate(const std::string& aService) const
{
  const Pool* pool = FindPool(aService);
  return pool == nullptr ? 0 : pool->mCutoff.Rate();
}

std::uint32_t
WorkQueue::DownstreamRunning(const std::string& aService) const
{
  const Pool* pool = FindPool(aService);
  return pool == nullptr ? 0 : pool->mRunning;
}

std::optional<std::uint32_t>
WorkQueue::DownstreamLimit(const std::string& aService) const
{
  const Pool* pool = FindPool(aService);
  return pool == nullptr ? std::nullopt : pool->mLimit;
}

std::vector<std::string>
WorkQueue::Downstream() const
{
  std::vector<std::string> services;
  services.reserve(mPools.size());
  for (const auto& [service, pool] : mPools) {
    services.push_back(service);
  }
  return services;
}

WorkChanges
WorkQueue::SetDownstreamLimit(core::TimePoint aNow,
                              const std::string& aService,
                              std::optional<std::uint32_t> aLimit)
{
  WorkChanges changes;
  PoolOf(aService).mLimit = aLimit;
  StartNext(aNow, changes);
  return changes;
}

core::Expected<bool>
WorkQueue::Offer(core::TimePoint aNow, const WorkItem& aItem)
{
  Decay(aNow);
  mRequestedSeconds += SecondsOf(aItem.mTypicalTime);
  mRequestedCalls += 1;
  AddTokens(aNow);
  if (IsTooLate(aNow, aItem)) {
    return core::Fail(core::ErrorKind::QueueTimeout,
                      "too little time is left for the call");
  }
  Pool& pool = PoolOf(aItem.mDownstream);
  if (SlotsInUse() < mLimit && NextPool() == nullptr && pool.HasRoom() &&
      HasToken()) {
    CountStart(aItem);
    return true;
  }
  double max_waiting = mSettings.mMaxWaitingRatio * mLimit;
  if (mRateLimit) {
    max_waiting =
      std::min(max_waiting,
               std::max(1.0, *mRateLimit * SecondsOf(mSettings.mMaxRateWait)));
  }
  if (static_cast<double>(mItems.size()) >= max_waiting &&
      !Evict(aItem.mRank)) {
    CountExpired(aItem);
    return core::Fail(core::ErrorKind::QueueFull, "the queue is full");
  }
  const auto place =
    pool.mOrder.emplace(std::pair{ aItem.mRank, mNextArrival++ }, aItem.mId)
      .first;
  const auto max_wait = std::chrono::duration_cast<core::Duration>(
    mSettings.mMaxWaitShare * (aItem.mDeadline - aNow));
  mItems.emplace(aItem.mId, Entry{ aItem, place, aNow + max_wait });
  pool.mWaitingSeconds += SecondsOf(aItem.mTypicalTime);
  return false;
}

bool
WorkQueue::IsHopeless(core::TimePoint aNow, const Entry& aEntry) const
{
  const WorkItem& item = aEntry.mItem;
  if (IsTooLate(aNow, item)) {
    return true;
  }
  if (aNow < aEntry.mWaitsUntil) {
    return false;
  }
  const Pool* pool =
    item.mDownstream.empty() ? &mOwn : FindPool(item.mDownstream);
  const RankCutoff& cutoff =
    pool != nullptr && pool->mLimit ? pool->mCutoff : mOwn.mCutoff;
  return std::min(item.mRank, item.mDemandRank) >
         cutoff.Cutoff() + mSettings.mCutoffMargin;
}

bool
WorkQueue::Evict(double aRank)
{
  const Order* highest = nullptr;
  const auto consider = [&highest](const Pool& aPool) {
    if (!aPool.mOrder.empty() &&
        (highest == nullptr ||
         aPool.mOrder.rbegin()->first > highest->rbegin()->first)) {
      highest = &aPool.mOrder;
    }
  };
  consider(mOwn);
  for (const auto& [service, pool] : mPools) {
    consider(pool);
  }
  if (highest == nullptr || highest->rbegin()->first.first <= aRank) {
    return false;
  }
  const std::uint64_t id = highest->rbegin()->second;
  CountExpired(mItems.at(id).mItem);
  Remove(id);
  mEvicted.push_back(id);
  return true;
}

WorkQueue::Pool*
WorkQueue::NextPool()
{
  Pool* next = mOwn.mOrder.empty() ? nullptr : &mOwn;
  for (auto& [service, pool] : mPools) {
    if (!pool.mOrder.empty() && pool.HasRoom() &&
        (next == nullptr ||
         pool.mOrder.begin()->first < next->mOrder.begin()->first)) {
      next = &pool;
    }
  }
  return next;
}

void
WorkQueue::StartNext(core::TimePoint aNow, WorkChanges& aChanges)
{
  AddTokens(aNow);
  while (SlotsInUse() < mLimit && HasToken()) {
    Pool* pool = NextPool();
    if (pool == nullptr) {
      return;
    }
    const WorkItem item = mItems.at(pool->mOrder.begin()->second).mItem;
    Remove(item.mId);
    if (IsTooLate(aNow, item)) {
      aChanges.mExpired.push_back(item.mId);
      CountExpired(item);
    } else {
      aChanges.mToStart.push_back(item.mId);
      CountStart(item);
    }
  }
}

void
WorkQueue::AddTokens(core::TimePoint aNow)
{
  if (mRateLimit) {
    const double burst =
      std::max(1.0, *mRateLimit * SecondsOf(mSettings.mRateBurst));
    mTokens =
      std::min(burst, mTokens + *mRateLimit * SecondsOf(aNow - mTokensAt));
  }
  mTokensAt = aNow;
}

void
WorkQueue::CountStart(const WorkItem& aItem)
{
  ++mRunning;
  mTokens -= mRateLimit ? 1 : 0;
  Pool& pool = PoolOf(aItem.mDownstream);
  ++pool.mRunning;
  (pool.mLimit ? pool : mOwn).mCutoff.OnStarted(aItem.mDemandRank);
}

void
WorkQueue::CountExpired(const WorkItem& aItem)
{
  Pool& pool = PoolOf(aItem.mDownstream);
  (pool.mLimit ? pool : mOwn).mCutoff.OnExpired(aItem.mDemandRank);
}

void
WorkQueue::UpdateCutoffs(core::TimePoint aNow)
{
  if (aNow - mCutoffsAt < kCutoffInterval) {
    return;
  }
  mCutoffsAt = aNow;
  mOwn.mCutoff.Update(aNow, !mOwn.mOrder.empty());
  for (auto& [service, pool] : mPools) {
    pool.mCutoff.Update(aNow, !pool.mOrder.empty());
  }
}

void
WorkQueue::OnRateLimit(core::TimePoint aNow, std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    if (mRateLimit && aNow - mRateLimitNamedAt >= mSettings.mRateLimitHold) {
      mRateLimit.reset();
    }
    return;
  }
  AddTokens(aNow);
  if (!mRateLimit) {
    mTokens = 0;
  }
  mRateLimit = std::max(mSettings.mMinRate, *aPerSecond);
  mRateLimitNamedAt = aNow;
}

std::uint32_t
WorkQueue::UsableSlots(std::uint32_t aSlots) const
{
  if (!mRateLimit || mRequestedCalls <= 0) {
    return aSlots;
  }
  const double slots =
    *mRateLimit * mWorkTime * mRequestedSeconds / mRequestedCalls;
  return std::clamp(
    static_cast<std::uint32_t>(std::min<double>(aSlots, std::ceil(slots))),
    std::min(1U, aSlots),
    aSlots);
}

WorkChanges
WorkQueue::SetLost(core::TimePoint aNow, std::uint32_t aLost)
{
  WorkChanges changes;
  // A wrong report must not lead to more than twice the limit.
  mLost = std::min(aLost, mLimit);
  StartNext(aNow, changes);
  return changes;
}

void
WorkQueue::CountEnded(core::TimePoint aNow, double aRefused, double aEnded)
{
  const double keep = mEndedAt == core::TimePoint{}
                        ? 0
                        : std::exp(-SecondsOf(aNow - mEndedAt) /
                                   SecondsOf(mSettings.mRefusalTime));
  mEndedAt = aNow;
  mRefused = mRefused * keep + aRefused;
  mEnded = mEnded * keep + aEnded;
}

void
WorkQueue::OnRefused(core::TimePoint aNow)
{
  CountEnded(aNow, 1, 0);
}

WorkChanges
WorkQueue::OnEnd(core::TimePoint aNow, const std::string& aDownstream)
{
  CountEnded(aNow, 0, 1);
  Pool& pool = PoolOf(aDownstream);
  if (pool.mRunning > 0) {
    --pool.mRunning;
  }
  WorkChanges changes;
  if (mRunning > 0) {
    --mRunning;
  }
  StartNext(aNow, changes);
  return changes;
}

void
WorkQueue::Remove(std::uint64_t aId)
{
  const auto found = mItems.find(aId);
  if (found != mItems.end()) {
    const WorkItem& item = found->second.mItem;
    Pool& pool = PoolOf(item.mDownstream);
    pool.mWaitingSeconds -= SecondsOf(item.mTypicalTime);
    pool.mOrder.erase(found->second.mPosition);
    mItems.erase(found);
  }
}

WorkChanges
WorkQueue::Tick(core::TimePoint aNow)
{
  UpdateCutoffs(aNow);
  WorkChanges changes;
  changes.mExpired = std::exchange(mEvicted, {});
  for (const auto& [id, entry] : mItems) {
    if (IsHopeless(aNow, entry)) {
      changes.mExpired.push_back(id);
      CountExpired(entry.mItem);
    }
  }
  for (const std::uint64_t id : changes.mExpired) {
    Remove(id);
  }
  StartNext(aNow, changes);
  return changes;
}

} // namespace nutmegrock::overload
