#include "overload/WorkTime.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace nutmegrock::overload {

namespace {

/// Time constant of the moving average. Entry nodes and queues react within
/// several 100 ms, so faster changes would only add noise.
constexpr std::chrono::milliseconds kSmoothing{ 400 };
/// A report without a successor no longer counts after this time.
constexpr std::chrono::seconds kLifetime{ 5 };
/// Bounds of a report. Servers of one service differ by a factor of two to
/// three, and a failing one by five; other values are more likely wrong.
constexpr double kMinFactor = 0.4;
constexpr double kMaxFactor = 8;
constexpr double kPercent = 100;

} // namespace

void
WorkTime::OnReport(core::TimePoint aNow, std::uint32_t aPercent)
{
  const double factor = std::clamp(aPercent / kPercent, kMinFactor, kMaxFactor);
  // The first report is averaged with the usual time as if it were one time
  // constant old, since a single one may be an outlier.
  const double age =
    mReportedAt == core::TimePoint::min()
      ? 1
      : std::chrono::duration<double>(aNow - mReportedAt) / kSmoothing;
  const double before = Factor(aNow);
  mFactor = factor + (before - factor) * std::exp(-std::max(0.0, age));
  mReportedAt = aNow;
}

double
WorkTime::Factor(core::TimePoint aNow) const
{
  return mReportedAt == core::TimePoint::min() || aNow - mReportedAt > kLifetime
           ? 1
           : mFactor;
}

std::uint32_t
WorkTime::Percent(core::TimePoint aNow) const
{
  return static_cast<std::uint32_t>(std::lround(Factor(aNow) * kPercent));
}

} // namespace nutmegrock::overload
