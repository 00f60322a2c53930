#pragma once

#include "core/Time.h"
#include "overload/RequestChain.h"

#include <array>
#include <cstddef>

namespace nutmegrock::overload {

struct RankCutoffSettings
{
  /// Time constant of the counts of started and expired calls.
  core::Duration mSmoothing = std::chrono::milliseconds{ 800 };
  /// Share of the calls that may expire without lowering the cutoff.
  double mMinExpiredShare = 0.02;
  /// Share of the calls that the cutoff allows beyond those that were started,
  /// so that it stays at the edge of what fits.
  double mNoise = 0.01;
  /// Part of the distance to the measured rank by which the cutoff falls in an
  /// update. Calls in progress that were admitted before make the measured rank
  /// too low for a while.
  double mFollow = 0.3;
  /// Rise of the cutoff in the first update after calls expired, and its
  /// maximum.
  double mRise = 0.03;
  double mMaxRise = 0.3;
  /// Factor from one rise to the next while no call waits.
  double mAcceleration = 1.5;
};

/// Finds the rank up to which a queue serves its calls: the one below which as
/// many recent calls lie as were started. It is measured and absolute: calls
/// that were admitted before entry nodes have followed do not lower it again.
/// While hardly any call expires it rises, faster and faster if no call waits.
/// Not synchronized.
class RankCutoff
{
public:
  explicit RankCutoff(RankCutoffSettings aSettings = {});

  void OnStarted(double aRank);
  /// A call left the queue without having been started.
  void OnExpired(double aRank);
  /// aWaiting tells whether calls are waiting. To be called every 100 ms.
  void Update(core::TimePoint aNow, bool aWaiting);
  /// Calls of a higher rank are not served; kOpenRank if all are.
  double Cutoff() const { return mCutoff; }
  /// Recent calls per second, started or expired.
  double Rate() const;

private:
  static constexpr std::size_t kStepsPerPriority = 20;
  static constexpr std::size_t kBuckets = kPriorities * kStepsPerPriority;
  using Counts = std::array<double, kBuckets>;

  static std::size_t BucketOf(double aRank);
  double RankThatFits() const;
  /// Upper end of the ranks of recent calls.
  double HighestRank() const;

  const RankCutoffSettings mSettings;
  Counts mStarted{};
  Counts mExpired{};
  /// Calls since the last update.
  double mNewStarted = 0;
  double mNewExpired = 0;
  double mCutoff = kOpenRank;
  double mRise = 0;
  core::TimePoint mUpdatedAt;
};

} // namespace nutmegrock::overload
