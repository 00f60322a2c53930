#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "core/Time.h"

#include <array>
#include <cstdint>

namespace nutmegrock::limits {

struct AdmissionLevelSettings
{
  /// Shortest window after which the level is adapted.
  core::Duration mWindow = std::chrono::milliseconds{ 50 };
  /// Longest window, for a service with few calls.
  core::Duration mMaxWindow = std::chrono::milliseconds{ 200 };
  /// Arrivals needed to end a window before mMaxWindow.
  std::uint32_t mWindowCalls = 20;
  /// Mean queue delay above which the server counts as overloaded. 20 ms is
  /// the figure of Zhou et al., SoCC 2018.
  core::Duration mTargetDelay = std::chrono::milliseconds{ 20 };
  /// The same as a share of the service time, whichever is longer: slow
  /// services queue for longer at the same use.
  double mTargetShare = 0.3;
  /// Share of arrivals refused by the queue or the server above which the
  /// server counts as overloaded.
  double mRefusedShare = 0.02;
  /// Largest cut of the admitted work below what was served, so that a queue
  /// drains while the level is up.
  double mMaxMargin = 0.3;
  /// Admitted work above the capacity in the first calm window; doubles with
  /// each further one.
  double mFallGrowth = 0.12;

  bool operator==(const AdmissionLevelSettings&) const = default;
};

/// State of the queue and the server at the end of a window.
struct LevelInput
{
  /// Time that the call waiting longest has waited; zero when none waits.
  core::Duration mOldestWait{ 0 };
  std::uint32_t mWaiting = 0;
  /// Usual time at the backend server.
  core::Duration mServiceTime{ 0 };
  /// Calls per second that the server completes with all slots in use; zero
  /// when not known.
  double mCapacity = 0;
  /// Slots are free and no call waits.
  bool mIdle = false;

  bool operator==(const LevelInput&) const = default;
};

/// Admission level (importance, cohort) of one service, after Zhou et al.,
/// "Overload Control for Scaling WeChat Microservices", SoCC 2018. Not
/// synchronized.
class AdmissionLevel
{
public:
  /// Fails with InvalidSettings.
  static core::Expected<AdmissionLevel> Create(
    const AdmissionLevelSettings& aSettings);

  /// Counts an arriving call; returns whether the level admits it.
  bool OnArrival(core::TimePoint aNow,
                 core::Importance aImportance,
                 core::Cohort aCohort);
  /// A call left the queue for a slot after this time in the queue.
  void OnStart(core::Duration aQueueDelay);
  /// The queue refused a call that the level had admitted.
  void OnQueueRefusal();
  /// Adapts the level if the window is over.
  void Adapt(core::TimePoint aNow, const LevelInput& aInput);

  core::Level Current() const;
  /// When the running window ends; TimePoint::max() while the level admits all
  /// and no call has arrived since the last window.
  core::TimePoint NextAdapt() const;

private:
  static constexpr std::size_t kPositions = core::kImportances * core::kCohorts;

  explicit AdmissionLevel(const AdmissionLevelSettings& aSettings);
  void StartWindow(core::TimePoint aNow);
  void UpdateRates(double aSeconds);
  /// Arrivals per second at or above a position.
  double RateFrom(std::size_t aPosition) const;
  bool IsOverloaded(double aDelay, double aTargetDelay) const;
  /// Raises the level so that at most this rate is admitted.
  void Rise(double aRate);
  /// Lowers the level so that about this rate is admitted.
  void Fall(double aRate);

  AdmissionLevelSettings mSettings;
  /// Position of the level: importance * kCohorts + cohort.
  std::size_t mPosition = 0;
  /// Arrivals of this window per position.
  std::array<std::uint32_t, kPositions> mArrivals{};
  /// Usual arrivals per second and position. Below the level they fade slowly,
  /// since callers that know the level do not send.
  std::array<double, kPositions> mRates{};
  /// Share of the capacity to which admitted work is held when the capacity
  /// itself turns out too much.
  double mCorrection = 1;
  std::uint32_t mLastWaiting = 0;
  core::TimePoint mWindowStart;
  bool mWindowOpen = false;
  std::uint32_t mArrived = 0;
  std::uint32_t mAdmitted = 0;
  std::uint32_t mRefused = 0;
  std::uint32_t mStarted = 0;
  core::Duration mDelaySum{ 0 };
  std::uint32_t mCalmWindows = 0;
};

} // namespace nutmegrock::limits
