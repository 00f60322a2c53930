#include "profiles/PollSchedule.h"

#include <algorithm>

namespace nutmegrock::profiles {

core::Duration
PollSchedule::MeanInterval(std::size_t aMembers) const
{
  using Seconds = std::chrono::duration<double>;
  const Seconds share(static_cast<double>(aMembers) / mSettings.mMeshReads);
  const Seconds mean =
    std::max(share, Seconds(mSettings.mMinInterval)) * mBackOff;
  return std::chrono::duration_cast<core::Duration>(mean);
}

core::TimePoint
PollSchedule::Next(core::TimePoint aNow,
                   std::size_t aMembers,
                   double aRandom) const
{
  return aNow + std::chrono::duration_cast<core::Duration>(
                  MeanInterval(aMembers) * (0.5 + aRandom));
}

void
PollSchedule::OnRead(bool aSucceeded)
{
  mBackOff = aSucceeded ? 1.0 : std::min(mBackOff * 2.0, mSettings.mMaxBackOff);
}

} // namespace nutmegrock::profiles
