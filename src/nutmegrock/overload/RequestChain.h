#pragma once

#include "core/Time.h"

#include <cstddef>
#include <cstdint>

namespace nutmegrock::overload {

/// Number of priorities that are distinguished; larger values count as the
/// last one.
constexpr std::size_t kPriorities = 8;
/// A rank above that of all requests.
constexpr double kOpenRank = static_cast<double>(kPriorities);

/// Rank of a request: its priority, where 0 is the most important, plus a
/// number in [0, 1) derived from the hash of its identity. All nodes order the
/// calls of requests by it, so a shortage breaks few requests instead of a part
/// of each.
double
RankOf(std::uint32_t aPriority, std::uint64_t aHash);

/// The number in [0, 1) of such a hash.
double
PartOf(std::uint64_t aHash);

/// What a node knows of the caller's request that a call belongs to. It is
/// passed on from the entry node of the request to the nodes of its nested
/// calls.
struct RequestChain
{
  double mRank = 0;
  /// The request can still complete in time if the call ends by then.
  core::TimePoint mFinishBy = core::TimePoint::max();
  /// Probability that the request, or a run that it led to, is a retry.
  double mRetryShare = 0;

  bool operator==(const RequestChain&) const = default;
};

} // namespace nutmegrock::overload
