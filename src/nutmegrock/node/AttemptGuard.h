#pragma once

#include "routing/Router.h"
#include "transport/Call.h"

#include <functional>
#include <string>

namespace nutmegrock::node {

/// Stands around the attempts of a call that must run at most once.
class AttemptGuard
{
public:
  AttemptGuard() = default;
  AttemptGuard(const AttemptGuard&) = delete;
  AttemptGuard& operator=(const AttemptGuard&) = delete;
  virtual ~AttemptGuard() = default;

  /// An attempt is about to be sent. Returns the key text it carries, or empty
  /// if it must not be sent.
  virtual std::string OnSend(const routing::Choice& aChoice) = 0;
  /// Takes in how the attempt ended, and finds out more when its answer was
  /// lost. Calls the handler once with what holds then.
  virtual void OnResult(const routing::Choice& aChoice,
                        core::TimePoint aDeadline,
                        transport::PeerResult aResult,
                        transport::PeerResultHandler aHandler) = 0;
};

} // namespace nutmegrock::node
