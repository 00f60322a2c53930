#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "limits/AdmissionLevel.h"
#include "limits/AdmissionQueue.h"
#include "limits/AdmissionRequest.h"
#include "limits/CallOutcome.h"
#include "limits/ConcurrencyLimit.h"
#include "limits/ServiceTime.h"

#include <array>
#include <cstdint>
#include <unordered_map>

namespace nutmegrock::limits {

struct AdmissionSettings
{
  ConcurrencyLimitSettings mLimit;
  AdmissionQueueSettings mQueue;
  AdmissionLevelSettings mLevel;

  bool operator==(const AdmissionSettings&) const = default;
};

/// Decides which calls run at one backend server, which wait and which are
/// refused. After each event no call waits while a slot is free. Not
/// synchronized: the owner serializes all calls.
class Admission
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<Admission> Create(const AdmissionSettings& aSettings);

  /// A new call. It is started, refused, or waits: then a later result names
  /// it.
  AdmissionResult Offer(core::TimePoint aNow, const AdmissionRequest& aRequest);
  /// A started call has ended. Unknown ids change nothing.
  AdmissionResult Finish(core::TimePoint aNow,
                         std::uint64_t aId,
                         const CallOutcome& aOutcome);
  /// The caller gave up. A waiting call is refused with Cancelled. A call in
  /// flight keeps its slot until Finish() reports that it has ended at the
  /// backend server.
  AdmissionResult Cancel(core::TimePoint aNow, std::uint64_t aId);
  /// Refuses calls that have waited too long and adapts limit and level. Call
  /// it at NextTick().
  AdmissionResult Tick(core::TimePoint aNow);
  /// When Tick() is due; TimePoint::max() when nothing is pending.
  core::TimePoint NextTick(core::TimePoint aNow) const;
  /// The backend server has reported another number of slots.
  AdmissionResult SetSlots(core::TimePoint aNow, std::uint32_t aSlots);

  /// Level to report with answers and to refuse by.
  core::Level CurrentLevel() const { return mLevel.Current(); }
  /// Calls in flight and waiting, per 1000 of the concurrency limit.
  std::uint32_t LoadPermille() const;
  /// Most calls in flight now.
  std::uint32_t Limit() const { return mLimit.Limit(); }
  std::uint32_t InFlight() const
  {
    return static_cast<std::uint32_t>(mRunning.size());
  }
  std::uint32_t Waiting() const { return mQueue.Size(); }

private:
  struct Running
  {
    core::TimePoint mStarted;
    /// Calls in flight when it started, itself included.
    std::uint32_t mInFlight = 0;
    /// Sample of the concurrency limit that it belongs to.
    std::uint32_t mSample = 0;
    core::Importance mImportance = core::Importance::Normal;
    bool mCancelled = false;
  };

  Admission(const ConcurrencyLimit& aLimit,
            AdmissionQueue aQueue,
            const AdmissionLevel& aLevel);
  void Start(core::TimePoint aNow,
             const AdmissionRequest& aRequest,
             AdmissionResult& aResult);
  void Refuse(const AdmissionRequest& aRequest,
              core::ErrorKind aKind,
              AdmissionResult& aResult);
  /// Drops calls past their time and fills free slots from the queue.
  void Pump(core::TimePoint aNow, AdmissionResult& aResult);
  void Adapt(core::TimePoint aNow);
  AdmissionQueue::ServiceTimes ServiceTimesAt(core::TimePoint aNow) const;
  std::chrono::milliseconds RetryAfter(core::Cohort aCohort) const;

  ConcurrencyLimit mLimit;
  AdmissionQueue mQueue;
  AdmissionLevel mLevel;
  /// Profiles of one importance have similar work, so times are kept apart.
  std::array<ServiceTime, core::kImportances> mServiceTimes;
  /// The level is not adapted before it.
  core::TimePoint mAdaptFrom;
  /// Usual time that a call holds its slot, and calls it is based on.
  double mSlotSeconds = 0;
  double mEnded = 0;
  std::unordered_map<std::uint64_t, Running> mRunning;
};

} // namespace nutmegrock::limits
