#include "experiment/LatencyHistogram.h"

#include <algorithm>

namespace nutmegrock::experiment {

namespace {

constexpr unsigned kBins = 3700;
constexpr double kMinMs = 1e-3;
constexpr double kMaxMs = 1e5;

} // namespace

LatencyHistogram::LatencyHistogram()
  : mBins(std::make_tuple(Axis(kBins, kMinMs, kMaxMs)))
{
}

void
LatencyHistogram::Add(core::Duration aLatency)
{
  const double ms = std::chrono::duration<double, std::milli>(aLatency).count();
  mBins(std::clamp(ms, kMinMs, kMaxMs * 0.999));
  ++mCount;
}

double
LatencyHistogram::QuantileMs(double aShare) const
{
  const double wanted = aShare * static_cast<double>(mCount);
  double sum = 0.0;
  const auto& axis = mBins.axis();
  for (int i = 0; i < axis.size(); ++i) {
    sum += mBins.at(i);
    if (sum > 0.0 && sum >= wanted) {
      return axis.bin(i).center();
    }
  }
  return 0.0;
}

} // namespace nutmegrock::experiment
