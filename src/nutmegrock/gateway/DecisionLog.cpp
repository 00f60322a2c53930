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
DecisionLog::MayWriteRequest(core::TimePoint aNow)
{
  if (mFilledAt != core::TimePoint{}) {
    const double seconds =
      std::chrono::duration<double>(aNow - mFilledAt).count();
    mTokens =
      std::min(mSettings.mBurst, mTokens + seconds * mSettings.mRequestLines);
  }
  mFilledAt = aNow;
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
  return mSettings.mSampleEvery != 0 &&
         ++mSuccesses % mSettings.mSampleEvery == 1;
}

} // namespace nutmegrock::gateway
