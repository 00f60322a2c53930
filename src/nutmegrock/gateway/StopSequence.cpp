#include "gateway/StopSequence.h"

#include <chrono>

namespace nutmegrock::gateway {

namespace {

using std::chrono::milliseconds;

/// Minimum time between a signal to stop and the exit, in which callers and
/// other nodes switch to other nodes. Callers leave after two missed readiness
/// checks, made once a second.
constexpr milliseconds kMinStopTime{ 2'600 };
/// For this long after the signal, requests from nodes that do not know of the
/// stop yet still run.
constexpr milliseconds kAcceptWorkTime{ 2'500 };
/// Delay between the signal and the notification of other nodes. The local
/// backend server of a stopping node is healthy, so its capacity is lost from
/// then on.
constexpr milliseconds kAnnounceLeaveDelay{ 2'100 };
/// Requests that arrive after this share of the time to stop could not finish
/// before the process exits.
constexpr double kRefuseAfterShare = 0.5;
/// Parts of the time to stop in which the last responses are sent, and that is
/// kept for the exit of the process.
constexpr milliseconds kAnswerReserve{ 400 };
constexpr milliseconds kExitReserve{ 150 };
/// Steps in a row without work before the exit. What the system had received
/// before the first is read and answered by the second.
constexpr int kIdleSteps = 2;

} // namespace

StopSequence::StopSequence(core::TimePoint aSignalAt, core::Duration aGrace)
  : mSignalAt(aSignalAt)
  , mGrace(aGrace)
{
}

StopActions
StopSequence::Next(core::TimePoint aNow, bool aIdle)
{
  const core::Duration elapsed = aNow - mSignalAt;
  mIdleSteps = aIdle ? mIdleSteps + 1 : 0;
  StopActions actions;
  actions.mAnnounceLeave = elapsed > kAnnounceLeaveDelay;
  actions.mRefuseWork = elapsed > kAcceptWorkTime;
  actions.mRefuseRequests = elapsed > mGrace * kRefuseAfterShare;
  actions.mAnswerAll = elapsed > mGrace - kAnswerReserve;
  actions.mExit = (elapsed > kMinStopTime && mIdleSteps >= kIdleSteps) ||
                  elapsed > mGrace - kExitReserve;
  return actions;
}

} // namespace nutmegrock::gateway
