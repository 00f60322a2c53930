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

/// Admission control of one backend server: decides which calls run, wait or
/// are refused. After each event no call waits while a slot is free. Not
/// synchronized: the owner serializes all calls.
class Admission
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<Admission> Create(const AdmissionSettings& aSettings);

  /// A new call: it is started, refused, or waits and is named in a later
  /// result.
  AdmissionResult Offer(core::TimePoint aNow, const AdmissionRequest& aRequest);
  /// A started call has ended. Unknown ids are ignored.
  AdmissionResult Finish(core::TimePoint aNow,
                         std::uint64_t aId,
                         const CallOutcome& aOutcome);
  /// The caller cancelled the call. A waiting call is refused with Cancelled. A
  /// call in flight keeps its slot until Finish() reports that it has ended at
  /// the backend server.
  AdmissionResult Cancel(core::TimePoint aNow, std::uint64_t aId);
  /// Refuses expired calls and adapts limit and level. To be called at
  /// NextTick().
  AdmissionResult Tick(core::TimePoint aNow);
  /// When Tick() is due; TimePoint::max() when nothing is pending.
  core::TimePoint NextTick(core::TimePoint aNow) const;
  /// The backend server has reported a new number of slots.
  AdmissionResult SetSlots(core::TimePoint aNow, std::uint32_t aSlots);

  /// Level that calls are admitted by and that responses report.
  core::Level CurrentLevel() const { return mLevel.Current(); }
  /// Calls in flight and waiting, per 1000 of the concurrency limit.
  std::uint32_t LoadPermille() const;
  /// Maximum number of calls in flight at present.
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
    /// Calls in flight when it started, including itself.
    std::uint32_t mInFlight = 0;
    /// Sample of the concurrency limit that it belongs to; 0 for none.
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
  /// Refuses expired calls and starts queued calls in free slots.
  void DispatchQueued(core::TimePoint aNow, AdmissionResult& aResult);
  void Adapt(core::TimePoint aNow);
  AdmissionQueue::ServiceTimes ServiceTimesAt(core::TimePoint aNow) const;
  std::chrono::milliseconds RetryAfter(core::Cohort aCohort) const;

  ConcurrencyLimit mLimit;
  AdmissionQueue mQueue;
  AdmissionLevel mLevel;
  /// Per importance: profiles of equal importance have similar service times.
  std::array<ServiceTime, core::kImportances> mServiceTimes;
  /// The level is not adapted before this time.
  core::TimePoint mAdaptFrom;
  /// Average time in seconds that a call holds its slot, and number of calls it
  /// is based on.
  double mSlotSeconds = 0;
  double mEndedCalls = 0;
  std::unordered_map<std::uint64_t, Running> mRunning;
};

} // namespace nutmegrock::limits
