#pragma once

#include <cstddef>

namespace nutmegrock::gateway {

/// Limits of the process on open file descriptors.
struct DescriptorLimit
{
  /// The limit in force at the start of the process.
  std::size_t mInitial = 0;
  /// The limit in force now.
  std::size_t mSoft = 0;
  std::size_t mHard = 0;

  bool operator==(const DescriptorLimit&) const = default;
};

/// Returns the limits in force.
DescriptorLimit
ReadDescriptorLimit();

/// Raises the limit to the maximum that the system allows for the process.
DescriptorLimit
RaiseDescriptorLimit();

/// Maximum connections that the listeners of a node may hold.
struct ConnectionLimits
{
  /// Of the listeners for callers and for other nodes, each.
  std::size_t mTraffic = 0;
  /// Of the listeners for notices, readiness and metrics, each.
  std::size_t mControl = 0;

  bool operator==(const ConnectionLimits&) const = default;
};

/// Returns limits that leave descriptors for one connection from a node per
/// incoming request, for peers and for the store.
ConnectionLimits
ConnectionLimitsFor(std::size_t aDescriptors);

} // namespace nutmegrock::gateway
