#include "gateway/DescriptorLimit.h"

#include <algorithm>
#include <sys/resource.h>

namespace nutmegrock::gateway {

namespace {

constexpr std::size_t kMaxConnections = 2'000;
constexpr std::size_t kMinConnections = 16;
/// Descriptors for the listeners, peers and the store.
constexpr std::size_t kReserved = 128;
constexpr std::size_t kControlListeners = 3;
/// A connection of each of the two traffic listeners may need a connection to
/// the backend server or to another node.
constexpr std::size_t kTrafficShares = 4;
constexpr std::size_t kControlDivisor = 64;

rlimit
ReadLimit()
{
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  return limit;
}

} // namespace

DescriptorLimit
ReadDescriptorLimit()
{
  const rlimit limit = ReadLimit();
  return { limit.rlim_cur, limit.rlim_cur, limit.rlim_max };
}

DescriptorLimit
RaiseDescriptorLimit()
{
  const rlimit initial = ReadLimit();
  rlimit raised = initial;
  raised.rlim_cur = raised.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &raised);
  DescriptorLimit result = ReadDescriptorLimit();
  result.mInitial = initial.rlim_cur;
  return result;
}

ConnectionLimits
ConnectionLimitsFor(std::size_t aDescriptors)
{
  const auto bounded = [](std::size_t aConnections) {
    return std::clamp(aConnections, kMinConnections, kMaxConnections);
  };
  const std::size_t control = bounded(aDescriptors / kControlDivisor);
  const std::size_t reserved = kReserved + kControlListeners * control;
  const std::size_t left =
    aDescriptors > reserved ? aDescriptors - reserved : 0;
  return { bounded(left / kTrafficShares), control };
}

} // namespace nutmegrock::gateway
