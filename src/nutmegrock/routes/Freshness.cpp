#include "routes/Freshness.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace nutmegrock::routes {

namespace {

/// Nodes assumed until they are known. Too many only delays the first read.
constexpr std::size_t kInitialNodes = 100;
constexpr std::chrono::milliseconds kInitialBackoff{ 250 };

} // namespace

Freshness::Freshness(core::TimePoint aNow, std::uint64_t aSeed)
  : mRandom(aSeed)
  , mNodes(kInitialNodes)
  , mLast{ aNow }
  , mPassedOnAt(aNow)
  , mReadAt(aNow + DrawAge())
{
}

core::Duration
Freshness::DrawAge()
{
  // The expected number of nodes that draw less than a share s of the range is
  // their number to the power of s.
  const double uniform = std::uniform_real_distribution<double>(
    std::numeric_limits<double>::min(), 1)(mRandom);
  const double nodes = std::max(2.0, static_cast<double>(mNodes));
  const double share =
    std::clamp(1 + std::log(uniform) / std::log(nodes), 0.0, 1.0);
  return kMinAge + std::chrono::duration_cast<core::Duration>(
                     share * (kMaxAge - kMinAge));
}

bool
Freshness::OnRead(const Confirmation& aRead)
{
  // Also when the clock of the store has gone back: it may be another store.
  return aRead.mAt > mLast.mAt && Take(aRead);
}

bool
Freshness::OnHeard(const Confirmation& aHeard)
{
  return aHeard.mStoreMs > mLast.mStoreMs && aHeard.mAt > mLast.mAt &&
         Take(aHeard);
}

bool
Freshness::Take(const Confirmation& aConfirmation)
{
  mLast = aConfirmation;
  mReadAt = mLast.mAt + DrawAge();
  mBackoff = core::Duration(0);
  if (mLast.mAt < mPassedOnAt + kMinGain) {
    return false;
  }
  mPassedOnAt = mLast.mAt;
  return true;
}

void
Freshness::OnReadFailed(core::TimePoint aNow)
{
  mBackoff =
    std::clamp<core::Duration>(mBackoff * 2, kInitialBackoff, kMaxBackoff);
  mReadAt = aNow + std::chrono::duration_cast<core::Duration>(
                     mBackoff *
                     std::uniform_real_distribution<double>(0.5, 1)(mRandom));
}

} // namespace nutmegrock::routes
