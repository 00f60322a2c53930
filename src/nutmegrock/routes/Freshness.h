#pragma once

#include "core/Time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace nutmegrock::routes {

/// The store held no newer routes than those in force here.
struct Confirmation
{
  /// For an own read the time at which it was sent.
  core::TimePoint mAt;
  /// Clock of the store, in milliseconds.
  std::int64_t mStoreMs = 0;

  bool operator==(const Confirmation&) const = default;
};

/// Decides when a node reads the store itself, so that the time since its
/// routes were known to be the newest is bounded whichever connections and
/// other nodes fail.
///
/// A confirmation comes from an own read, or from a node that has no newer
/// routes in force. Each node waits a random time for the next confirmation and
/// then reads. The times follow the exponential feedback timers of
/// Nonnenmacher and Biersack (Scalable Feedback for Large Groups, IEEE/ACM ToN,
/// 1999): of any number of nodes few read before the confirmation of the first
/// one has reached the others. No node depends on which others are alive.
///
/// Not thread-safe.
class Freshness
{
public:
  /// Minimum and maximum age of the last confirmation at which a node reads.
  static constexpr std::chrono::milliseconds kMinAge{ 600 };
  static constexpr std::chrono::milliseconds kMaxAge{ 1'200 };
  /// Minimum gain over the last one for which a confirmation is passed on to
  /// other nodes: several may read at about the same time.
  static constexpr std::chrono::milliseconds kMinGain{ 300 };
  /// Maximum delay between a failed read and the next one.
  static constexpr std::chrono::milliseconds kMaxBackoff{ 1'000 };

  /// The routes count as unconfirmed since aNow.
  Freshness(core::TimePoint aNow, std::uint64_t aSeed);

  /// Sets the number of nodes that read the same store, this one included.
  void SetNodes(std::size_t aNodes) { mNodes = aNodes; }
  /// Takes the confirmation of an own read. Returns true if it is to be passed
  /// on to other nodes.
  bool OnRead(const Confirmation& aRead);
  /// Takes the confirmation of another node, unless a later one is known by the
  /// clock of the store: a message that goes round, each time by its delay too
  /// young, must not confirm forever. Returns true if it is to be passed on.
  bool OnHeard(const Confirmation& aHeard);
  /// Delays the next read after one that failed.
  void OnReadFailed(core::TimePoint aNow);

  /// Time of the next read unless a confirmation arrives before.
  core::TimePoint ReadAt() const { return mReadAt; }
  const Confirmation& Last() const { return mLast; }

private:
  /// A random age in the range above.
  core::Duration DrawAge();
  bool Take(const Confirmation& aConfirmation);

  std::mt19937_64 mRandom;
  std::size_t mNodes;
  Confirmation mLast;
  core::TimePoint mPassedOnAt;
  core::TimePoint mReadAt;
  core::Duration mBackoff{ 0 };
};

} // namespace nutmegrock::routes
