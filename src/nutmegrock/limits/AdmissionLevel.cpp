#include "limits/AdmissionLevel.h"

#include <algorithm>
#include <cmath>

namespace nutmegrock::limits {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time constants of the average rates, in seconds. Rates of cohorts below
/// the level decay more slowly, since callers that know the level do not send
/// these calls.
constexpr double kRateDecaySeconds = 0.6;
constexpr double kHiddenRateDecaySeconds = 10;
/// Arrivals above this multiple of the average rate are a surge.
constexpr double kSurgeFactor = 1.5;
/// Assumed rate of a cohort without known arrivals, as a share of the target
/// rate. Limits how far one step lowers the level while the demand is
/// unknown.
constexpr double kUnknownCohortShare = 0.005;
/// Reduction of the admitted rate per unit of relative excess delay.
constexpr double kMarginPerDelay = 0.05;
/// Factors applied to the capacity correction per window.
constexpr double kCorrectionDecrease = 0.9;
constexpr double kCorrectionIncrease = 1.05;
constexpr double kMinCorrection = 0.05;
/// Further doublings of the growth would not lower the level any faster.
constexpr std::uint32_t kMaxDoublings = 8;

std::size_t
PositionOf(core::Importance aImportance, core::Cohort aCohort)
{
  return static_cast<std::size_t>(aImportance) * core::kCohorts +
         std::min<std::size_t>(aCohort, core::kCohorts - 1);
}

/// Both times are in seconds.
double
DecayTowards(double aOld, double aNew, double aElapsed, double aTimeConstant)
{
  return aNew + (aOld - aNew) * std::exp(-aElapsed / aTimeConstant);
}

} // namespace

AdmissionLevel::AdmissionLevel(const AdmissionLevelSettings& aSettings)
  : mSettings(aSettings)
{
}

core::Expected<AdmissionLevel>
AdmissionLevel::Create(const AdmissionLevelSettings& aSettings)
{
  const bool valid = aSettings.mMinWindow > core::Duration{ 0 } &&
                     aSettings.mMaxWindow >= aSettings.mMinWindow &&
                     aSettings.mTargetDelay > core::Duration{ 0 } &&
                     aSettings.mTargetDelayShare >= 0 &&
                     aSettings.mRefusedShare >= 0 && aSettings.mMaxMargin > 0 &&
                     aSettings.mMaxMargin < 1 && aSettings.mLowerGrowth > 0;
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
AdmissionLevel::OnArrival(core::TimePoint aNow,
                          core::Importance aImportance,
                          core::Cohort aCohort)
{
  if (!mWindowOpen) {
    mWindowStart = aNow;
    mWindowOpen = true;
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

core::TimePoint
AdmissionLevel::NextAdapt() const
{
  if (!mWindowOpen) {
    return core::TimePoint::max();
  }
  return mWindowStart + (mArrived >= mSettings.mWindowCalls
                           ? mSettings.mMinWindow
                           : mSettings.mMaxWindow);
}

void
AdmissionLevel::StartWindow(core::TimePoint aNow)
{
  mWindowStart = aNow;
  mWindowOpen = mPosition > 0;
  mArrivals.fill(0);
  mArrived = 0;
  mAdmitted = 0;
  mRefused = 0;
  mStarted = 0;
  mDelaySum = core::Duration{ 0 };
}

void
AdmissionLevel::UpdateRates(double aSeconds)
{
  for (std::size_t i = 0; i < kPositions; ++i) {
    const double now = mArrivals.at(i) / aSeconds;
    double& rate = mRates.at(i);
    const bool hidden = i < mPosition && now < rate;
    rate = DecayTowards(rate,
                        now,
                        aSeconds,
                        hidden ? kHiddenRateDecaySeconds : kRateDecaySeconds);
  }
  // The averages follow a surge too slowly, so they are scaled up to it.
  const double arriving = mArrived / aSeconds;
  const double typical = RateFrom(0);
  if (mArrived >= mSettings.mWindowCalls && typical > 0 &&
      arriving > kSurgeFactor * typical) {
    for (double& rate : mRates) {
      rate *= arriving / typical;
    }
  }
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

bool
AdmissionLevel::IsOverloaded(double aDelay, double aTargetDelay) const
{
  return aDelay > aTargetDelay ||
         mRefused > mSettings.mRefusedShare * mAdmitted;
}

void
AdmissionLevel::Adapt(core::TimePoint aNow, const LevelInput& aInput)
{
  if (!mWindowOpen || aNow < NextAdapt()) {
    return;
  }
  const double seconds = std::max(1e-6, Seconds(aNow - mWindowStart).count());
  UpdateRates(seconds);
  const double target = std::max(Seconds(mSettings.mTargetDelay).count(),
                                 mSettings.mTargetDelayShare *
                                   Seconds(aInput.mServiceTime).count());
  const double mean =
    mStarted == 0 ? 0.0 : Seconds(mDelaySum).count() / mStarted;
  // Without starts, or when the newest or important calls go first, the mean of
  // the started calls underestimates the delay of the others.
  const double delay = std::max(mean, Seconds(aInput.mOldestWait).count() / 2);
  const double admitted = RateFrom(mPosition);
  const double capacity = aInput.mCapacity > 0 ? aInput.mCapacity : admitted;
  if (IsOverloaded(delay, target)) {
    mIdleWindows = 0;
    if (admitted <= capacity * mCorrection && aInput.mWaiting >= mLastWaiting) {
      mCorrection = std::max(kMinCorrection, mCorrection * kCorrectionDecrease);
    }
    const double margin = std::clamp(
      kMarginPerDelay * (delay / target - 1), 0.0, mSettings.mMaxMargin);
    Raise((1 - margin) * mCorrection * capacity);
  } else if (delay < target / 2) {
    mCorrection = std::min(1.0, mCorrection * kCorrectionIncrease);
    if (mPosition > 0) {
      const double growth =
        mSettings.mLowerGrowth *
        std::exp2(static_cast<double>(std::min(mIdleWindows, kMaxDoublings)));
      // The growth doubles only while slots are free: the arrivals expected
      // below the level may no longer exist, and the capacity may be higher.
      mIdleWindows = aInput.mIdle ? mIdleWindows + 1 : 0;
      Lower((1 + growth) * std::max(mCorrection * capacity, admitted));
    }
  }
  mLastWaiting = aInput.mWaiting;
  StartWindow(aNow);
}

void
AdmissionLevel::Raise(double aRate)
{
  double rate = 0;
  std::size_t highest = mPosition;
  std::size_t position = kPositions;
  bool any = false;
  while (position > mPosition) {
    const double here = mRates.at(position - 1);
    if (here > 0 && !any) {
      highest = position - 1;
      any = true;
    }
    if (rate + here > aRate) {
      break;
    }
    rate += here;
    --position;
  }
  // Some calls are always admitted, otherwise a recovery would go unnoticed.
  mPosition = std::max(mPosition, std::min(position, highest));
}

void
AdmissionLevel::Lower(double aRate)
{
  double room = aRate - RateFrom(mPosition);
  const double unknown = kUnknownCohortShare * aRate;
  while (mPosition > 0 && room > 0) {
    --mPosition;
    room -= std::max(unknown, mRates.at(mPosition));
  }
}

} // namespace nutmegrock::limits
