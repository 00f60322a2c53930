#pragma once

#include "core/Address.h"
#include "core/Incarnation.h"
#include "core/Time.h"
#include "membership/MembershipSettings.h"
#include "membership/Random.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace nutmegrock::membership {

/// Decides when this node compares its table with that of another member and
/// follows the pages of one comparison. At most one runs at a time, and the
/// pause after it grows with its size, which bounds the mean cost.
class Sync
{
public:
  /// Mean bytes per second received by comparisons. A node answers as much as
  /// it asks on average, so both together and full datagrams (2.6 KB/s) stay
  /// within the control budget of 10 KB/s.
  static constexpr double kBytesPerSecond = 3500.0;
  /// An unanswered request is given up after this time.
  static constexpr core::Duration kTimeout = std::chrono::seconds(10);

  /// Comparison in progress.
  struct Run
  {
    std::uint64_t mId = 0;
    core::Address mPeer;
    core::Incarnation mTarget;
    std::size_t mBucket = 0;
    std::size_t mBytes = 0;
    std::size_t mChanges = 0;
    core::TimePoint mUntil;
  };

  explicit Sync(const MembershipSettings& aSettings);

  /// Whether a regular comparison is due.
  bool IsDue(core::TimePoint aNow) const;
  /// Whether one may start now outside the regular ones, as after hearing of an
  /// unknown member.
  bool MayStart(core::TimePoint aNow) const;
  /// Starts a comparison.
  const Run& Start(core::TimePoint aNow,
                   core::Address aPeer,
                   core::Incarnation aTarget);
  /// Takes in a page and returns the run if it is to go on at aNextBucket; null
  /// when it is complete.
  const Run* Continue(core::TimePoint aNow,
                      std::size_t aNextBucket,
                      std::size_t aBytes,
                      std::size_t aChanges,
                      Random& aRandom);
  /// Ends the run after an error.
  void Abort(core::TimePoint aNow, Random& aRandom);
  /// Gives up a run that got no answer. Returns whether there was one.
  bool Expire(core::TimePoint aNow, Random& aRandom);

  const std::optional<Run>& Current() const { return mRun; }
  /// Whether a whole table was received at least once.
  bool HasCompleted() const { return mCompleted; }

private:
  void Finish(core::TimePoint aNow, Random& aRandom);

  core::Duration mInterval;
  std::optional<Run> mRun;
  std::uint64_t mNextId = 0;
  core::TimePoint mDueAt;
  core::TimePoint mNotBefore;
  bool mCompleted = false;
};

} // namespace nutmegrock::membership
