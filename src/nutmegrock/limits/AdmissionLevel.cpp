#include "limits/AdmissionLevel.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constants of the usual rates, in seconds. Served work is averaged over
/// a few windows; arrivals below the level are remembered for longer, since
/// callers that know the level do not send them.
constexpr double kServedTime = 0.3;
constexpr double kArrivalTime = 0.3;
constexpr double kHiddenTime = 10;
/// Cost of lowering the level by one cohort without known arrivals, as a share
/// of the admitted work. Bounds the step into work whose amount is not known.
constexpr double kUnknownCohort = 0.005;
/// Further doublings of the fall do not change its time.
constexpr std::uint32_t kMostDoublings = 6;

std::size_t
PositionOf(core::Importance aImportance, core::Cohort aCohort)
{
  return static_cast<std::size_t>(aImportance) * core::kCohorts +
         std::min<std::size_t>(aCohort, core::kCohorts - 1);
}

double
Blend(double aOld, double aNew, double aSeconds, double aTime)
{
  return aNew + (aOld - aNew) * std::exp(-aSeconds / aTime);
}

} // namespace

AdmissionLevel::AdmissionLevel(const AdmissionLevelSettings& aSettings)
  : mSettings(aSettings)
{
}

core::Expected<AdmissionLevel>
AdmissionLevel::Create(const AdmissionLevelSettings& aSettings)
{
  const bool valid = aSettings.mWindow > core::Duration{ 0 } &&
                     aSettings.mLongestWindow >= aSettings.mWindow &&
                     aSettings.mTargetDelay > core::Duration{ 0 } &&
                     aSettings.mTargetShare >= 0 &&
                     aSettings.mRefusedShare >= 0 &&
                     aSettings.mMostMargin > 0 && aSettings.mMostMargin < 1 &&
                     aSettings.mFallGrowth > 0;
  if (!valid) {
    return core::Fail(core::ErrorKind::InvalidSettings,
                      "admission level: windows, target delay, margin and "
                      "growth must be positive, the margin below 1");
  }
  return AdmissionLevel(aSettings);
}

core::Level
AdmissionLevel::Current() const
{
  return { static_cast<core::Importance>(mPosition / core::kCohorts),
           static_cast<core::Cohort>(mPosition % core::kCohorts) };
}

bool
AdmissionLevel::Arrive(core::TimePoint aNow,
                       core::Importance aImportance,
                       core::Cohort aCohort)
{
  if (!mWindowOpen) {
    StartWindow(aNow);
  }
  const std::size_t position = PositionOf(aImportance, aCohort);
  ++mArrivals.at(position);
  ++mArrived;
  if (position < mPosition) {
    return false;
  }
  ++mAdmitted;
  return true;
}

void
AdmissionLevel::OnStart(core::Duration aQueueDelay)
{
  ++mStarted;
  mDelaySum += aQueueDelay;
}

void
AdmissionLevel::OnQueueRefusal()
{
  ++mRefused;
}

void
AdmissionLevel::OnFinish()
{
  ++mFinished;
}

core::TimePoint
AdmissionLevel::NextAdapt() const
{
  if (!mWindowOpen) {
    return core::TimePoint::max();
  }
  return mWindowStart + (mArrived >= mSettings.mWindowCalls
                           ? mSettings.mWindow
                           : mSettings.mLongestWindow);
}

void
AdmissionLevel::StartWindow(core::TimePoint aNow)
{
  mWindowStart = aNow;
  mWindowOpen = true;
  mArrivals.fill(0);
  mArrived = 0;
  mAdmitted = 0;
  mRefused = 0;
  mStarted = 0;
  mFinished = 0;
  mDelaySum = core::Duration{ 0 };
}

void
AdmissionLevel::UpdateRates(double aSeconds)
{
  for (std::size_t i = 0; i < kPositions; ++i) {
    const double now = mArrivals.at(i) / aSeconds;
    double& rate = mRates.at(i);
    const bool hidden = i < mPosition && now < rate;
    rate = Blend(rate, now, aSeconds, hidden ? kHiddenTime : kArrivalTime);
  }
  const double served = mFinished / aSeconds;
  mServedRate = mServedRate <= 0
                  ? served
                  : Blend(mServedRate, served, aSeconds, kServedTime);
}

double
AdmissionLevel::RateFrom(std::size_t aPosition) const
{
  double rate = 0;
  for (std::size_t i = aPosition; i < kPositions; ++i) {
    rate += mRates.at(i);
  }
  return rate;
}

void
AdmissionLevel::Adapt(core::TimePoint aNow,
                      core::Duration aOldestWait,
                      core::Duration aServiceTime)
{
  if (!mWindowOpen || aNow < NextAdapt()) {
    return;
  }
  UpdateRates(std::max(1e-6, Seconds(aNow - mWindowStart).count()));
  const double target =
    std::max(Seconds(mSettings.mTargetDelay).count(),
             mSettings.mTargetShare * Seconds(aServiceTime).count());
  double delay = mStarted == 0 ? 0.0 : Seconds(mDelaySum).count() / mStarted;
  // Without starts, or newest first, the mean of the started calls hides how
  // long the others wait.
  delay = std::max(delay, Seconds(aOldestWait).count() / 2);
  const bool refusing = mRefused > mSettings.mRefusedShare * mAdmitted;
  if (delay > target || refusing) {
    const double margin =
      std::clamp(0.05 * (delay / target - 1), 0.02, mSettings.mMostMargin);
    mCalmWindows = 0;
    Rise((1 - margin) * std::min(mServedRate, RateFrom(mPosition)));
  } else if (delay < target / 2 && mPosition > 0) {
    Fall();
  }
  StartWindow(aNow);
  mWindowOpen = mPosition > 0 || mArrived > 0;
}

void
AdmissionLevel::Rise(double aTarget)
{
  double rate = 0;
  std::size_t highest = kPositions;
  std::size_t position = kPositions;
  while (position > mPosition) {
    const double here = mRates.at(position - 1);
    if (here > 0 && highest == kPositions) {
      highest = position - 1;
    }
    if (rate + here > aTarget) {
      break;
    }
    rate += here;
    --position;
  }
  // Some work is always admitted, or nothing would show a recovery.
  mPosition = std::max(mPosition, std::min(position, highest));
  mPosition = std::min(mPosition, kPositions - 1);
}

void
AdmissionLevel::Fall()
{
  const double admitted = std::max(1.0, RateFrom(mPosition));
  double room =
    mSettings.mFallGrowth *
    std::exp2(static_cast<double>(std::min(mCalmWindows, kMostDoublings)));
  ++mCalmWindows;
  while (mPosition > 0 && room > 0) {
    --mPosition;
    room -= std::max(kUnknownCohort, mRates.at(mPosition) / admitted);
  }
}

} // namespace nutmegrock::limits
