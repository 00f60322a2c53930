#include "gateway/DecisionLog.h"

#include <algorithm>
#include <utility>

namespace nutmegrock::gateway {

DecisionLog::DecisionLog(DecisionLogSettings aSettings, Writer aWriter)
  : mSettings(aSettings)
  , mWriter(std::move(aWriter))
  , mTokens(aSettings.mBurst)
{
}

bool
DecisionLog::ShouldLogRequest(core::TimePoint aNow)
{
  if (mRefilledAt != core::TimePoint{}) {
    const double seconds =
      std::chrono::duration<double>(aNow - mRefilledAt).count();
    mTokens = std::min(mSettings.mBurst,
                       mTokens + seconds * mSettings.mRequestLinesPerSecond);
  }
  mRefilledAt = aNow;
  if (mTokens < 1) {
    ++mDropped;
    return false;
  }
  mTokens -= 1;
  return true;
}

bool
DecisionLog::IsSample()
{
  return mSettings.mSampleInterval != 0 &&
         ++mSuccesses % mSettings.mSampleInterval == 1;
}

} // namespace nutmegrock::gateway
