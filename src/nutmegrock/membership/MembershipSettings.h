#pragma once

#include "core/Time.h"

#include <cstddef>

namespace nutmegrock::membership {

/// Times and sizes of the protocol. The defaults are those of the design page;
/// tests shorten the times.
struct MembershipSettings
{
  /// One probe is started per period.
  core::Duration mPeriod = std::chrono::seconds(1);
  /// Time until indirect probes follow an unanswered ping. Covers a round trip
  /// between distant regions.
  core::Duration mPingTimeout = std::chrono::milliseconds(500);
  std::size_t mIndirectProbes = 3;
  /// Shortest suspicion is this many periods times log10 of the members.
  double mSuspicionFactor = 3.0;
  /// Longest suspicion, without confirmation by others, as a multiple of the
  /// shortest.
  double mSuspicionSpread = 3.0;
  /// Confirmations after which the suspicion time is the shortest.
  std::size_t mConfirmations = 3;
  /// Upper end of the local health counter (Lifeguard's S).
  unsigned mMaxHealth = 8;
  /// Own probes looked at to tell whether this node itself is isolated.
  std::size_t mProbeWindow = 10;
  /// Mean time between probes of dead members by one node.
  core::Duration mDeadProbeInterval = std::chrono::seconds(10);
  /// Mean time between table comparisons by one node.
  core::Duration mSyncInterval = std::chrono::seconds(30);
  /// Pause between pings of seeds while no other member is known.
  core::Duration mSeedInterval = std::chrono::seconds(1);
  /// Dead members are kept this long, so that regions which were apart for an
  /// hour find each other without the store.
  core::Duration mDeadRetention = std::chrono::hours(2);
  /// Records of left members are kept this long.
  core::Duration mLeftRetention = std::chrono::minutes(10);
  /// Incarnations of dropped members are remembered this much longer, so that
  /// stale gossip does not bring them back.
  core::Duration mTombstoneRetention = std::chrono::hours(4);
};

} // namespace nutmegrock::membership
