#pragma once

#include "core/Time.h"

namespace nutmegrock::gateway {

/// What a stopping node does from now on.
struct StopActions
{
  /// Other nodes are told that this one leaves.
  bool mAnnounceLeave = false;
  /// The local backend server gets no new work.
  bool mRefuseWork = false;
  /// New requests of callers are refused.
  bool mRefuseRequests = false;
  /// Requests in flight get a response of this node.
  bool mAnswerAll = false;
  bool mExit = false;

  bool operator==(const StopActions&) const = default;
};

/// The steps of a planned stop, by the time since the signal. Callers and other
/// nodes get time to switch to other nodes, requests in flight get time to end,
/// and what is left is answered before the platform kills the process. Not
/// synchronized.
class StopSequence
{
public:
  /// aGrace is the time between the signal and the kill.
  StopSequence(core::TimePoint aSignalAt, core::Duration aGrace);

  /// To be called every 20 ms, once per iteration of the event loop. aIdle is
  /// true if no request is in flight or half read and all responses are sent.
  StopActions Next(core::TimePoint aNow, bool aIdle);

private:
  const core::TimePoint mSignalAt;
  const core::Duration mGrace;
  int mIdleSteps = 0;
};

} // namespace nutmegrock::gateway
