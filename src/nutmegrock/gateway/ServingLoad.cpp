#include "gateway/Serving.h"

#include "gateway/ServerLoad.h"
#include "gateway/ServingCall.h"

#include <algorithm>
#include <chrono>

// What the local backend server reports of its load.

namespace nutmegrock::gateway {

namespace {

/// A run that takes longer than this multiple of its typical time, and than the
/// minimum below, may have ended without a response.
constexpr int kLostRunFactor = 4;
constexpr core::Duration kMinLostRunTime = std::chrono::milliseconds{ 100 };
/// After this time a reported server load no longer describes its current
/// slots.
constexpr std::chrono::milliseconds kServerLoadLifetime{ 200 };

} // namespace

void
Serving::OnServerLoad(std::string_view aLoad)
{
  const core::TimePoint now = mComponents.mNow();
  const ServerLoad load = ParseServerLoad(aLoad);
  if (load.mRunning && load.mWaiting) {
    mServerCalls = *load.mRunning + *load.mWaiting;
    mServerLoadAt = now;
  }
  OnWorkTime(now, load.mWorkPercent);
}

void
Serving::OnWorkTime(core::TimePoint aNow,
                    const std::optional<std::uint32_t>& aPercent)
{
  if (aPercent) {
    mWorkTime.OnReport(aNow, *aPercent);
    mQueue.SetWorkTime(mWorkTime.Factor(aNow));
  }
}

core::Duration
Serving::TypicalTime(core::TimePoint aNow, const std::string& aRoute)
{
  return std::chrono::duration_cast<core::Duration>(
    std::chrono::duration<double>(StatsOf(aRoute).mRunSeconds *
                                  mWorkTime.Factor(aNow)));
}

// The server's load report is a hint that may be stale or wrong, so only calls
// that have taken much longer than is typical count as lost.
std::uint32_t
Serving::CountLostCalls(core::TimePoint aNow)
{
  if (mServerLoadAt == core::TimePoint{} ||
      aNow - mServerLoadAt > kServerLoadLifetime ||
      mServerCalls >= mQueue.Running()) {
    return 0;
  }
  std::uint32_t overdue = 0;
  for (const auto& [id, call] : mCalls) {
    const core::Duration typical = TypicalTime(aNow, call->Route());
    overdue +=
      call->IsRunning() && call->RunTime(aNow) >
                             std::max(kMinLostRunTime, typical * kLostRunFactor)
        ? 1
        : 0;
  }
  return std::min(overdue, mQueue.Running() - mServerCalls);
}

} // namespace nutmegrock::gateway
