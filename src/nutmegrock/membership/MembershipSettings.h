#pragma once

#include "core/Time.h"

#include <cstddef>

namespace nutmegrock::membership {

/// Parameters of the protocol. The defaults are those of the design page; tests
/// use shorter times.
struct MembershipSettings
{
  /// Protocol period, in which one probe starts.
  core::Duration mPeriod = std::chrono::seconds(1);
  /// Time without an ack after which indirect probes start. Covers a round trip
  /// between distant regions.
  core::Duration mPingTimeout = std::chrono::milliseconds(500);
  std::size_t mIndirectProbes = 3;
  /// Minimum suspicion timeout in periods, multiplied by log10 of the number of
  /// members.
  double mSuspicionFactor = 3.0;
  /// Maximum suspicion timeout, which holds without confirmation by others, as
  /// a multiple of the minimum.
  double mMaxSuspicionMultiple = 3.0;
  /// Confirmations that reduce the suspicion timeout to its minimum.
  std::size_t mConfirmations = 3;
  /// Maximum of the local health score (S in Lifeguard).
  unsigned mMaxHealthScore = 8;
  /// Number of recent probes from which a node decides whether it is isolated.
  std::size_t mProbeWindow = 10;
  /// Mean interval between probes of dead members by one node.
  core::Duration mDeadProbeInterval = std::chrono::seconds(10);
  /// Mean interval between table exchanges started by one node.
  core::Duration mSyncInterval = std::chrono::seconds(30);
  /// Interval between pings of seeds while no other member is known.
  core::Duration mSeedInterval = std::chrono::seconds(1);
  /// Retention time of dead members. Lets regions that were partitioned for an
  /// hour find each other without the store.
  core::Duration mDeadRetention = std::chrono::hours(2);
  /// Retention time of members that left.
  core::Duration mLeftRetention = std::chrono::minutes(10);
  /// Additional time for which the incarnation of a removed member is
  /// remembered, so that stale gossip does not add it again.
  core::Duration mTombstoneRetention = std::chrono::hours(4);
};

} // namespace nutmegrock::membership
