#include "standins/standin_backend/BackendState.h"

#include <algorithm>

namespace nutmegrock::standin_backend {

namespace {

// Added to the time factor of runs right after the start, which take three
// times as long (empty caches). Decreases linearly to zero over the cold start.
constexpr double kColdStartExtra = 2.0;

/// Each connection has at most one request in progress, so the number of
/// connections limits the queue.
std::size_t
QueueLimit(const Settings& aSettings)
{
  return aSettings.mConnections > aSettings.mSlots
           ? aSettings.mConnections - aSettings.mSlots
           : 0;
}

} // namespace

BackendState::BackendState(Settings aSettings,
                           std::shared_ptr<experiment::PooledClient> aClient,
                           core::TimePoint aNow)
  : mSettings(std::move(aSettings))
  , mStarted(aNow)
  , mClient(std::move(aClient))
  , mSlots(mSettings.mSlots, QueueLimit(mSettings))
  , mServiceTimes(mSettings.mMean, mSettings.mDistribution, mSettings.mSeed)
{
}

Behaviour
BackendState::CurrentBehaviour() const
{
  const std::lock_guard lock(mMutex);
  return mBehaviour;
}

void
BackendState::SetBehaviour(const Behaviour& aBehaviour)
{
  const std::lock_guard lock(mMutex);
  mBehaviour = aBehaviour;
}

core::Duration
BackendState::SampleRun(core::TimePoint aNow)
{
  double factor = CurrentBehaviour().mSlowdown;
  const auto age = aNow - mStarted;
  if (age < mSettings.mColdStart) {
    const double remaining =
      1.0 - std::chrono::duration<double>(age).count() /
              std::chrono::duration<double>(mSettings.mColdStart).count();
    factor *= 1.0 + kColdStartExtra * remaining;
  }
  return std::chrono::duration_cast<core::Duration>(mServiceTimes.Sample() *
                                                    factor);
}

void
BackendState::StartDrain(core::TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (!mDrainStarted) {
    mDrainStarted = aNow;
  }
}

bool
BackendState::IsDraining() const
{
  const std::lock_guard lock(mMutex);
  return mDrainStarted.has_value();
}

core::Duration
BackendState::SinceDrain(core::TimePoint aNow) const
{
  const std::lock_guard lock(mMutex);
  return mDrainStarted ? aNow - *mDrainStarted : core::Duration{ -1 };
}

} // namespace nutmegrock::standin_backend
