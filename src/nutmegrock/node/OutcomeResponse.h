#pragma once

#include "once/Outcome.h"
#include "transport/Call.h"

#include <functional>
#include <memory>

namespace nutmegrock::node {

using OutcomePtr = std::shared_ptr<const once::Outcome>;

/// Returns a response that repeats a known outcome. A body that was not kept is
/// replaced by an empty one with the header Nutmegrock-Body: not-kept.
transport::Response
ResponseOf(const once::Outcome& aOutcome);

/// Reads the first chunk of the response body and passes the handler the
/// outcome to keep and a response that can still be forwarded. A body of more
/// than one chunk is not kept. Passes the reader's error in place of the
/// response if reading the first chunk fails.
void
CaptureOutcome(
  transport::Response aResponse,
  std::function<void(OutcomePtr, core::Expected<transport::Response>)>
    aHandler);

} // namespace nutmegrock::node
