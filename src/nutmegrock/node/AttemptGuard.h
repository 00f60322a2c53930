#pragma once

#include "routing/Router.h"
#include "transport/Call.h"

#include <functional>
#include <string>

namespace nutmegrock::node {

/// Tracks the attempts of a call that must run at most once.
class AttemptGuard
{
public:
  AttemptGuard() = default;
  AttemptGuard(const AttemptGuard&) = delete;
  AttemptGuard& operator=(const AttemptGuard&) = delete;
  virtual ~AttemptGuard() = default;

  /// Called before an attempt is sent. Returns the key text that it carries, or
  /// an empty string if it must not be sent.
  virtual std::string OnSend(const routing::Choice& aChoice) = 0;
  /// Records the result of the attempt. If the response was lost, queries the
  /// executor first. Calls the handler once with the final result.
  virtual void OnResult(const routing::Choice& aChoice,
                        core::TimePoint aDeadline,
                        transport::PeerResult aResult,
                        transport::PeerResultHandler aHandler) = 0;
};

} // namespace nutmegrock::node
