#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "core/Time.h"

#include <array>
#include <cstdint>

namespace nutmegrock::limits {

struct AdmissionLevelSettings
{
  /// Minimum window after which the level is adapted.
  core::Duration mMinWindow = std::chrono::milliseconds{ 50 };
  /// Maximum window, for a service with few calls.
  core::Duration mMaxWindow = std::chrono::milliseconds{ 200 };
  /// Minimum arrivals to end a window before mMaxWindow.
  std::uint32_t mWindowCalls = 20;
  /// Mean queue delay above which the server counts as overloaded. 20 ms is
  /// the figure of Zhou et al., SoCC 2018.
  core::Duration mTargetDelay = std::chrono::milliseconds{ 20 };
  /// Minimum of that threshold as a share of the service time: slow services
  /// have longer queue delays at the same utilization.
  double mTargetDelayShare = 0.3;
  /// Share of arrivals refused by the queue or the server above which the
  /// server counts as overloaded.
  double mRefusedShare = 0.02;
  /// Maximum reduction of the admitted rate below the capacity, so that the
  /// queue drains while the level is raised.
  double mMaxMargin = 0.3;
  /// Admitted rate above the capacity when the level is lowered; doubles with
  /// each idle window.
  double mLowerGrowth = 0.12;

  bool operator==(const AdmissionLevelSettings&) const = default;
};

/// State of the queue and the server at the end of a window.
struct LevelInput
{
  /// Waiting time of the oldest call in the queue; zero if none waits.
  core::Duration mOldestWait{ 0 };
  std::uint32_t mWaiting = 0;
  /// Average time at the backend server.
  core::Duration mServiceTime{ 0 };
  /// Calls per second that the server completes with all slots in use; zero if
  /// unknown.
  double mCapacity = 0;
  /// No call waits, and the calls in flight are well below the limit.
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

  /// Counts an arriving call. Returns true if the level admits it.
  bool OnArrival(core::TimePoint aNow,
                 core::Importance aImportance,
                 core::Cohort aCohort);
  /// A call was started after this time in the queue.
  void OnStart(core::Duration aQueueDelay);
  /// The queue refused a call that the level had admitted.
  void OnQueueRefusal();
  /// Adapts the level if the window is over.
  void Adapt(core::TimePoint aNow, const LevelInput& aInput);

  core::Level Current() const;
  /// End of the present window; TimePoint::max() while the level admits all and
  /// no call has arrived since the last window.
  core::TimePoint NextAdapt() const;

private:
  static constexpr std::size_t kPositions = core::kImportances * core::kCohorts;

  explicit AdmissionLevel(const AdmissionLevelSettings& aSettings);
  void StartWindow(core::TimePoint aNow);
  void UpdateRates(double aSeconds);
  /// Arrivals per second at or above a position.
  double RateFrom(std::size_t aPosition) const;
  bool IsOverloaded(double aDelay, double aTargetDelay) const;
  /// Raises the level so that at most this rate is admitted, in calls per
  /// second.
  void Raise(double aRate);
  /// Lowers the level so that about this rate is admitted, in calls per second.
  void Lower(double aRate);

  AdmissionLevelSettings mSettings;
  /// Position of the level: importance * kCohorts + cohort.
  std::size_t mPosition = 0;
  /// Arrivals of this window per position.
  std::array<std::uint32_t, kPositions> mArrivals{};
  /// Average arrivals per second per position. Below the level they decay
  /// slowly, since callers that know the level do not send.
  std::array<double, kPositions> mRates{};
  /// Factor on the capacity while admitting the full capacity still overloads
  /// the server.
  double mCorrection = 1;
  std::uint32_t mLastWaiting = 0;
  core::TimePoint mWindowStart;
  bool mWindowOpen = false;
  std::uint32_t mArrived = 0;
  std::uint32_t mAdmitted = 0;
  std::uint32_t mRefused = 0;
  std::uint32_t mStarted = 0;
  core::Duration mDelaySum{ 0 };
  std::uint32_t mIdleWindows = 0;
};

} // namespace nutmegrock::limits
