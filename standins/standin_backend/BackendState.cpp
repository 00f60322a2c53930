#include "standins/standin_backend/BackendState.h"

#include <algorithm>

namespace nutmegrock::standin_backend {

namespace {

// Runs right after the start take three times as long (empty caches); the
// factor falls linearly to one over the cold start.
constexpr double kColdExtra = 2.0;

/// One request is in progress on each connection, so the connections bound the
/// queue.
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
  , mTimes(mSettings.mMean, mSettings.mDistribution, mSettings.mSeed)
{
}

Behaviour
BackendState::BehaviourNow() const
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
  double factor = BehaviourNow().mSlowdown;
  const auto age = aNow - mStarted;
  if (age < mSettings.mColdStart) {
    const double left =
      1.0 - std::chrono::duration<double>(age).count() /
              std::chrono::duration<double>(mSettings.mColdStart).count();
    factor *= 1.0 + kColdExtra * left;
  }
  return std::chrono::duration_cast<core::Duration>(mTimes.Sample() * factor);
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
