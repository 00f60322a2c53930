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

/// Schedules anti-entropy: decides when this node compares its table with that
/// of another member and tracks the pages of the exchange. At most one exchange
/// runs at a time, and the delay after it is proportional to its size, which
/// bounds the mean bandwidth.
class TableSync
{
public:
  /// Mean bytes per second received by exchanges. A node sends as much as it
  /// receives on average, so both together and full datagrams (2.6 KB/s) stay
  /// within the control budget of 10 KB/s.
  static constexpr double kBytesPerSecond = 3500.0;
  /// Time after which a request without a response is abandoned.
  static constexpr core::Duration kTimeout = std::chrono::seconds(10);

  /// An exchange in progress.
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

  explicit TableSync(const MembershipSettings& aSettings);

  /// True if a periodic exchange is due.
  bool IsDue(core::TimePoint aNow) const;
  /// True if an additional exchange may start, as after contact with an unknown
  /// member.
  bool MayStart(core::TimePoint aNow) const;
  /// Starts an exchange.
  const Run& Start(core::TimePoint aNow,
                   core::Address aPeer,
                   core::Incarnation aTarget);
  /// Records a page and returns the exchange if it continues at aNextBucket;
  /// null if it is complete.
  const Run* Continue(core::TimePoint aNow,
                      std::size_t aNextBucket,
                      std::size_t aBytes,
                      std::size_t aChanges,
                      Random& aRandom);
  /// Ends the exchange after an error.
  void Abort(core::TimePoint aNow, Random& aRandom);
  /// Ends an exchange whose response timed out. Returns true if there was one.
  bool Expire(core::TimePoint aNow, Random& aRandom);

  const std::optional<Run>& Current() const { return mRun; }
  /// True if a whole table was received at least once.
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
