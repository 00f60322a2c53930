#include "routing/ServerSpeeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace nutmegrock::routing {

namespace {

using Seconds = std::chrono::duration<double>;

/// A report counts in full up to the first age and then less and less up to the
/// second. An entry node may use each of many servers only every few seconds.
constexpr Seconds kFullReport{ 5 };
constexpr Seconds kReportLifetime{ 15 };
/// The same for a deviation from the reports. It has to fade, so that a server
/// that gets few calls after a fault is tried again.
constexpr Seconds kFullDeviation{ 5 };
constexpr Seconds kDeviationLifetime{ 30 };
/// Time for which the speeds are used after the last report of another than the
/// usual time.
constexpr std::chrono::seconds kActiveTime{ 60 };
/// Weight of one run in the deviation of its server; about 30 runs show a
/// server that takes five times as long as it reports.
constexpr double kDeviationWeight = 0.05;
/// Minimum weight of one run in the typical time of its kind.
constexpr double kTypicalWeight = 0.02;
/// Runs of a kind before its typical time is used.
constexpr std::uint32_t kMinRuns = 10;
/// Maximum logarithmic difference of one run, a factor of 3.3, since single
/// runs may take any time.
constexpr double kMaxDifference = 1.2;
/// Deviations below the first, a factor of 1.2, are noise; those above the
/// second, a factor of 1.5, count in full.
constexpr double kNoise = 0.2;
constexpr double kClear = 0.4;
/// Times are reported in whole milliseconds, too coarse for shorter kinds.
constexpr double kMinTypicalSeconds = 0.004;
/// Maximum number of kinds; when exceeded, all are dropped and learned again.
constexpr std::size_t kMaxKinds = 512;
constexpr double kPercent = 100;

double
Remaining(Seconds aAge, Seconds aFull, Seconds aLifetime)
{
  return std::clamp((aLifetime - aAge) / (aLifetime - aFull), 0.0, 1.0);
}

/// The part of a deviation that is not noise.
double
ClearPart(double aDeviation)
{
  return aDeviation *
         std::clamp(
           (std::abs(aDeviation) - kNoise) / (kClear - kNoise), 0.0, 1.0);
}

double
LogOfPercent(std::uint32_t aPercent)
{
  return -std::log(std::clamp(kPercent / std::max(1U, aPercent),
                              ServerSpeeds::kMinSpeed,
                              ServerSpeeds::kMaxSpeed));
}

} // namespace

void
ServerSpeeds::SetServers(std::span<const core::Incarnation> aServers)
{
  std::unordered_map<std::uint64_t, Server> known;
  for (const Server& server : mServers) {
    known.emplace(server.mIncarnation.mBits, server);
  }
  mServers.clear();
  mServers.reserve(aServers.size());
  for (const core::Incarnation incarnation : aServers) {
    const auto found = known.find(incarnation.mBits);
    mServers.push_back(found == known.end() ? Server{} : found->second);
    mServers.back().mIncarnation = incarnation;
  }
}

bool
ServerSpeeds::IsActive(core::TimePoint aNow) const
{
  return mUnusualAt != core::TimePoint{} && aNow - mUnusualAt <= kActiveTime;
}

void
ServerSpeeds::OnResponse(core::TimePoint aNow,
                         std::size_t aServer,
                         const core::CallFeedback& aFeedback,
                         bool aSucceeded)
{
  if (aFeedback.mWorkPercent != core::kUsualWorkPercent) {
    mUnusualAt = aNow;
  }
  if (!IsActive(aNow)) {
    return;
  }
  Server& server = mServers.at(aServer);
  server.mReported = LogOfPercent(aFeedback.mWorkPercent);
  server.mReportedAt = aNow;
  if (aSucceeded && aFeedback.mWorkKind != 0) {
    Compare(aNow, server, aFeedback);
  }
}

void
ServerSpeeds::Compare(core::TimePoint aNow,
                      Server& aServer,
                      const core::CallFeedback& aFeedback)
{
  if (mKinds.size() >= kMaxKinds && !mKinds.contains(aFeedback.mWorkKind)) {
    mKinds.clear();
  }
  Kind& kind = mKinds[aFeedback.mWorkKind];
  // The time is rounded down.
  constexpr Seconds kHalfMillisecond{ 0.0005 };
  const double at_usual_speed =
    std::log((Seconds(aFeedback.mRunTime) + kHalfMillisecond).count()) -
    aServer.mReported;
  if (kind.mRuns == 0) {
    kind.mTypical = at_usual_speed;
  }
  const double difference = at_usual_speed - kind.mTypical;
  ++kind.mRuns;
  kind.mTypical += std::max(kTypicalWeight, 1.0 / kind.mRuns) *
                   std::clamp(difference, -kMaxDifference, kMaxDifference);
  if (kind.mRuns < kMinRuns || kind.mTypical < std::log(kMinTypicalSeconds)) {
    return;
  }
  const double before =
    aServer.mDeviation *
    Remaining(aNow - aServer.mDeviationAt, kFullDeviation, kDeviationLifetime);
  aServer.mDeviation = std::clamp(
    before + kDeviationWeight *
               std::clamp(difference - before, -kMaxDifference, kMaxDifference),
    std::log(kMinSpeed),
    -std::log(kMinSpeed));
  aServer.mDeviationAt = aNow;
}

double
ServerSpeeds::Speed(core::TimePoint aNow, std::size_t aServer) const
{
  if (!IsActive(aNow)) {
    return 1;
  }
  const Server& server = mServers.at(aServer);
  const double factor =
    server.mReported *
      Remaining(aNow - server.mReportedAt, kFullReport, kReportLifetime) +
    ClearPart(server.mDeviation) *
      Remaining(aNow - server.mDeviationAt, kFullDeviation, kDeviationLifetime);
  return std::clamp(std::exp(-factor), kMinSpeed, kMaxSpeed);
}

} // namespace nutmegrock::routing
