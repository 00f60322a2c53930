#pragma once

#include "core/Time.h"
#include "experiment/PooledClient.h"
#include "standins/standin_backend/Behaviour.h"
#include "standins/standin_backend/RunCounts.h"
#include "standins/standin_backend/ServiceTime.h"
#include "standins/standin_backend/Settings.h"
#include "standins/standin_backend/SlotPool.h"

#include <memory>
#include <mutex>
#include <optional>

namespace nutmegrock::standin_backend {

/// State shared by all connections of one server. Safe from any thread.
class BackendState
{
public:
  BackendState(Settings aSettings,
               std::shared_ptr<experiment::PooledClient> aClient,
               core::TimePoint aNow);

  const Settings& SettingsOf() const { return mSettings; }
  experiment::PooledClient& Client() { return *mClient; }
  RunCounts& Counts() { return mCounts; }
  SlotPool& Slots() { return mSlots; }
  ServiceTime& ServiceTimes() { return mServiceTimes; }

  Behaviour CurrentBehaviour() const;
  void SetBehaviour(const Behaviour& aBehaviour);

  /// Returns the duration of a run that starts at aNow, including slowdown and
  /// cold start.
  core::Duration SampleRun(core::TimePoint aNow);

  void StartDrain(core::TimePoint aNow);
  bool IsDraining() const;
  /// Returns the time since draining began, or a negative value if it has not.
  core::Duration SinceDrain(core::TimePoint aNow) const;

private:
  const Settings mSettings;
  const core::TimePoint mStarted;
  std::shared_ptr<experiment::PooledClient> mClient;
  RunCounts mCounts;
  SlotPool mSlots;
  ServiceTime mServiceTimes;
  mutable std::mutex mMutex;
  Behaviour mBehaviour;
  std::optional<core::TimePoint> mDrainStarted;
};

} // namespace nutmegrock::standin_backend
