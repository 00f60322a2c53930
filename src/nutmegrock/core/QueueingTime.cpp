#include "core/QueueingTime.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace nutmegrock::core {

namespace {

/// Load above which the waiting time grows linearly.
constexpr double kLinearFrom = 0.95;
/// Largest number of slots that is told apart, as a power of two.
constexpr int kMaxPower = 12;

/// Work that exceeds the capacity by a tenth waits a second more within some
/// seconds, and then is lost: that weighs more than any way between zones.
constexpr double kSecondsPerOverload = 10;
/// Prevents a division by zero.
constexpr double kMinSeconds = 1e-6;

double
WaitOf(double aLoad, double aSlots)
{
  const double power = std::sqrt(2 * (aSlots + 1)) - 1;
  return std::pow(aLoad, power) / (aSlots * (1 - aLoad));
}

} // namespace

QueueingTime::QueueingTime(double aSlots)
{
  constexpr double kDifference = 1e-4;
  const double at_end = WaitOf(kLinearFrom, aSlots);
  const double slope =
    (at_end - WaitOf(kLinearFrom - kDifference, aSlots)) / kDifference;
  for (std::size_t i = 0; i < kPoints; ++i) {
    const double load = kStep * static_cast<double>(i);
    mWaits.at(i) = load < kLinearFrom ? WaitOf(load, aSlots)
                                      : at_end + slope * (load - kLinearFrom);
  }
}

const QueueingTime&
QueueingTime::Of(double aSlots)
{
  static const std::vector<QueueingTime> sTables = [] {
    std::vector<QueueingTime> tables;
    for (int power = 0; power <= kMaxPower; ++power) {
      tables.push_back(QueueingTime(std::exp2(power)));
    }
    return tables;
  }();
  const double power = std::clamp(std::round(std::log2(std::max(1.0, aSlots))),
                                  0.0,
                                  static_cast<double>(kMaxPower));
  return sTables.at(static_cast<std::size_t>(power));
}

double
QueueingTime::WaitAt(double aLoad) const
{
  const double place = std::clamp(aLoad, 0.0, kMaxLoad) / kStep;
  const auto index = std::min(kPoints - 2, static_cast<std::size_t>(place));
  const double part = place - static_cast<double>(index);
  return mWaits.at(index) + part * (mWaits.at(index + 1) - mWaits.at(index));
}

double
QueueingTime::LoadAt(double aWait) const
{
  const auto above = std::upper_bound(mWaits.begin(), mWaits.end(), aWait);
  if (above == mWaits.begin()) {
    return 0;
  }
  if (above == mWaits.end()) {
    return kMaxLoad;
  }
  const auto index = static_cast<std::size_t>(above - mWaits.begin()) - 1;
  const double part = (aWait - mWaits.at(index)) / (*above - mWaits.at(index));
  return kStep * (static_cast<double>(index) + part);
}

double
ExpectedWait::At(double aLoad) const
{
  return mSeconds * mQueue->WaitAt(aLoad) +
         kSecondsPerOverload * std::max(0.0, aLoad - 1);
}

// Above 1 both parts are linear.
double
ExpectedWait::LoadAt(double aTime) const
{
  const double at_full = At(1);
  if (aTime <= at_full) {
    return mQueue->LoadAt(aTime / std::max(kMinSeconds, mSeconds));
  }
  const double slope = At(2) - at_full;
  return std::min(QueueingTime::kMaxLoad, 1 + (aTime - at_full) / slope);
}

} // namespace nutmegrock::core
