#pragma once

#include "core/Error.h"
#include "core/Level.h"
#include "core/Time.h"

#include <array>
#include <cstdint>

namespace nutmegrock::limits {

struct AdmissionLevelSettings
{
  /// Window after which the level is adapted.
  core::Duration mWindow = std::chrono::milliseconds{ 50 };
  /// Arrivals after which a window ends early.
  std::uint32_t mWindowCalls = 2000;
  /// Mean queue delay above which the server counts as overloaded. 20 ms is
  /// the figure of Zhou et al., SoCC 2018.
  core::Duration mTargetDelay = std::chrono::milliseconds{ 20 };
  /// Share of arrivals refused by the queue above which the server counts as
  /// overloaded.
  double mRefusedShare = 0.02;
  /// Share by which the admitted work is cut below what was served, so that a
  /// queue drains while the level is up.
  double mMargin = 0.05;
  /// Cohorts by which the level falls in the first calm window; doubles with
  /// each further calm window.
  std::uint32_t mFallCohorts = 8;

  bool operator==(const AdmissionLevelSettings&) const = default;
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
  bool Arrive(core::TimePoint aNow,
              core::Importance aImportance,
              core::Cohort aCohort);
  /// A call left the queue for a slot after this time in the queue.
  void OnStart(core::Duration aQueueDelay);
  /// The queue refused a call that the level had admitted.
  void OnQueueRefusal();
  /// A call ended at the backend server.
  void OnFinish();
  /// Adapts the level if the window is over. aOldestWait is the time that the
  /// oldest waiting call has waited, zero when none waits.
  void Adapt(core::TimePoint aNow, core::Duration aOldestWait);

  core::Level Current() const;
  /// When the running window ends; TimePoint::max() while the level admits all
  /// and no call has arrived since the last window.
  core::TimePoint NextAdapt() const;

private:
  static constexpr std::size_t kPositions = core::kImportances * core::kCohorts;

  explicit AdmissionLevel(const AdmissionLevelSettings& aSettings);
  bool IsOverloaded(core::Duration aOldestWait) const;
  void Rise();
  void Fall();
  void StartWindow(core::TimePoint aNow);

  AdmissionLevelSettings mSettings;
  /// Position of the level: importance * kCohorts + cohort.
  std::size_t mPosition = 0;
  /// Arrivals of this window per position.
  std::array<std::uint32_t, kPositions> mArrivals{};
  /// Arrivals per window and position, averaged over recent windows.
  std::array<float, kPositions> mUsual{};
  core::TimePoint mWindowEnd;
  bool mWindowOpen = false;
  std::uint32_t mArrived = 0;
  std::uint32_t mAdmitted = 0;
  std::uint32_t mRefused = 0;
  std::uint32_t mStarted = 0;
  std::uint32_t mFinished = 0;
  core::Duration mDelaySum{ 0 };
  std::uint32_t mCalmWindows = 0;
};

} // namespace nutmegrock::limits
