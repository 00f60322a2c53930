#include "routes/WatchWait.h"

#include <algorithm>

namespace nutmegrock::routes {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinWait{ 700 };
constexpr milliseconds kMaxWait{ 25'000 };
constexpr int kWaitGrowth = 3;
/// Nodes with the same wait, so that one of them may fail or be cut off.
constexpr std::size_t kNodesPerStep = 2;

} // namespace

milliseconds
WatchWait(std::size_t aRank)
{
  milliseconds wait = kMinWait;
  for (std::size_t step = aRank / kNodesPerStep; step > 0 && wait < kMaxWait;
       --step) {
    wait *= kWaitGrowth;
  }
  return std::min(wait, kMaxWait);
}

} // namespace nutmegrock::routes
