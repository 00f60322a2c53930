#pragma once

#include "once/Outcome.h"
#include "transport/Call.h"

#include <functional>
#include <memory>

namespace nutmegrock::node {

using OutcomePtr = std::shared_ptr<const once::Outcome>;

/// The answer that repeats a known outcome. A body that was not kept is
/// replaced by an empty one with the header Nutmegrock-Body: not-kept.
transport::Response
ResponseOf(const once::Outcome& aOutcome);

/// Reads the first chunk of an answer's body and gives the outcome to keep with
/// an answer that can be passed on; a body of more than one chunk is not kept.
/// Gives the reader's error when the body breaks off in its first chunk.
void
KeepOutcome(transport::Response aResponse,
            std::function<void(OutcomePtr, core::Expected<transport::Response>)>
              aHandler);

} // namespace nutmegrock::node
